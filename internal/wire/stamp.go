package wire

import "github.com/kingcupreel/kingcupreel/internal/timeline"

// Clock is the process's hybrid logical clock: messages that carry a stamp
// order the events of their sender before those of their receiver.
// timeline.Ring implements it.
type Clock interface {
	Now() timeline.Stamp
	Observe(timeline.Stamp)
}

// stamped is a message that carries its sender's stamp. It is sent once: a
// message for several connections is copied for each.
type stamped interface {
	stamp() *timeline.Stamp
}

// stampOut sets the message's stamp before it is queued.
func stampOut(clock Clock, m Message) {
	if s, ok := m.(stamped); ok && clock != nil {
		*s.stamp() = clock.Now()
	}
}

// stampIn moves the clock past a received message's stamp.
func stampIn(clock Clock, m Message) {
	if s, ok := m.(stamped); ok && clock != nil {
		clock.Observe(*s.stamp())
	}
}

func (m *Hello) stamp() *timeline.Stamp    { return &m.Stamp }
func (m *Dispatch) stamp() *timeline.Stamp { return &m.Stamp }
func (m *Refused) stamp() *timeline.Stamp  { return &m.Stamp }
func (m *Done) stamp() *timeline.Stamp     { return &m.Stamp }
