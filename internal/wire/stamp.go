package wire

import "github.com/kingcupreel/kingcupreel/internal/timeline"

// Clock is the process's hybrid logical clock. Messages carry its stamps, so that
// events at the sender before a message are ordered before events at the receiver
// after it. timeline.Ring implements Clock.
type Clock interface {
	Now() timeline.Stamp
	Observe(timeline.Stamp)
}

// stamped is a message that carries its sender's stamp. Since Send sets the stamp,
// such a message must be sent only once: a message for several connections is
// copied for each.
type stamped interface {
	stamp() *timeline.Stamp
}

// stampOut sets the stamp of a message that is about to be queued.
func stampOut(clock Clock, m Message) {
	if s, ok := m.(stamped); ok && clock != nil {
		*s.stamp() = clock.Now()
	}
}

// stampIn advances the clock past the stamp of a received message.
func stampIn(clock Clock, m Message) {
	if s, ok := m.(stamped); ok && clock != nil {
		clock.Observe(*s.stamp())
	}
}

func (m *Hello) stamp() *timeline.Stamp    { return &m.Stamp }
func (m *Dispatch) stamp() *timeline.Stamp { return &m.Stamp }
func (m *Refused) stamp() *timeline.Stamp  { return &m.Stamp }
func (m *Done) stamp() *timeline.Stamp     { return &m.Stamp }
