package expertmap

import "github.com/kingcupreel/kingcupreel/internal/fault"

// Member is an agent's part: it votes for its rank, gathers the votes of the
// other ranks and resumes its engine. It keeps nothing that a restart may not
// lose: what it promised stands in the engine. It is not safe for concurrent
// use.
//
// Each method returns the messages to send to every other member; a message
// that is lost is sent again by a later Tick.
type Member struct {
	rank, ranks int
	engine      Engine
	// fence is the highest fencing number seen. An order is refused until
	// known is set: a restarted agent has yet to learn the number.
	fence int64
	known bool
	// ballots holds the votes of undecided switches.
	ballots map[SwitchID]*ballot
	// instance is the engine's run that the fields below belong to.
	instance string
	// reports holds the reports of the newest round known, by rank.
	round   int64
	reports map[int]Report
	// asked holds the rounds that the others are in, while this rank, new to
	// the group, asks for them.
	asked map[int]int64
}

type ballot struct {
	fence int64
	votes map[int]bool
}

// NewMember returns the member for a rank of a group of ranks.
func NewMember(rank, ranks int, engine Engine) *Member {
	return &Member{rank: rank, ranks: ranks, engine: engine, ballots: map[SwitchID]*ballot{}, asked: map[int]int64{}}
}

// RaiseFence sets the least fencing number that is accepted: a lease granted
// later has a higher one.
func (m *Member) RaiseFence(floor int64) {
	m.fence = max(m.fence, floor)
	m.known = true
}

// CheckFence refuses an order with an old fencing number, and remembers a new
// one.
func (m *Member) CheckFence(fence int64) error {
	if !m.known {
		return fault.New(fault.Unavailable, "send the order again when the agent has read the lease", "the agent has restarted and does not know the highest fencing number")
	}
	if fence < m.fence {
		return fault.New(fault.Stale, "take the planner's lease before giving orders", "fencing number %d is older than %d", fence, m.fence)
	}
	m.fence = fence
	return nil
}

// Fence returns the highest fencing number seen and whether it is known.
func (m *Member) Fence() (int64, bool) { return m.fence, m.known }

// Order takes a planner's order to vote.
func (m *Member) Order(o Order) ([]Message, error) {
	if err := m.CheckFence(o.Fence); err != nil {
		return nil, err
	}
	if o.ID.Step == RestartStep {
		return m.restart(o)
	}
	yes, err := m.engine.Hold(o.ID, o.Fence)
	if err != nil {
		return nil, err
	}
	return m.voted(o.ID, o.Fence, yes, true), nil
}

// restart starts the next round, in which this rank wants the order's map.
func (m *Member) restart(o Order) ([]Message, error) {
	s, err := m.status()
	if err != nil {
		return nil, err
	}
	if !s.Formed || s.Round != o.ID.Round {
		return nil, fault.New(fault.Stale, "order a switch in the group's present round", "restart of round %d, the rank is in round %d", o.ID.Round, s.Round)
	}
	return m.report(s.Round+1, o.ID.Version, true), nil
}

// voted records the rank's own vote, decides if it can, and returns the vote.
func (m *Member) voted(id SwitchID, fence int64, yes, ask bool) []Message {
	b := m.ballot(id, fence)
	b.votes[m.rank] = yes
	m.decide(id, b)
	return []Message{Vote{ID: id, Fence: fence, Rank: m.rank, Yes: yes, Ask: ask}}
}

func (m *Member) ballot(id SwitchID, fence int64) *ballot {
	b := m.ballots[id]
	if b == nil {
		b = &ballot{fence: fence, votes: map[int]bool{}}
		m.ballots[id] = b
	}
	return b
}

// Vote takes another member's vote.
func (m *Member) Vote(v Vote) []Message {
	b := m.ballot(v.ID, v.Fence)
	b.votes[v.Rank] = v.Yes
	_, own := b.votes[m.rank]
	if own && !v.Ask {
		m.decide(v.ID, b)
		return nil
	}
	yes, err := m.answer(v)
	if err != nil {
		delete(m.ballots, v.ID)
		return nil
	}
	return m.voted(v.ID, v.Fence, yes, false)
}

// answer gives the rank's vote on a switch that it learned of from another
// member: with an unknown or newer fencing number it says no.
func (m *Member) answer(v Vote) (bool, error) {
	if m.CheckFence(v.Fence) != nil {
		return m.engine.Refuse(v.ID)
	}
	return m.engine.Hold(v.ID, v.Fence)
}

// decide resumes the engine once the outcome is known: the switch happens if
// every rank said yes.
func (m *Member) decide(id SwitchID, b *ballot) {
	if !b.votes[m.rank] {
		return
	}
	for _, yes := range b.votes {
		if !yes {
			m.resume(id, false)
			return
		}
	}
	if len(b.votes) == m.ranks {
		m.resume(id, true)
	}
}

func (m *Member) resume(id SwitchID, switched bool) {
	s, err := m.engine.Status()
	if err != nil || s.Held == nil || *s.Held != id {
		return
	}
	version := s.Active
	if switched {
		version = id.Version
	}
	_ = m.engine.Resume(id, version)
}

// Tick asks again for what is missing: votes that the engine waits for, and
// the reports of a round that is forming.
func (m *Member) Tick() []Message {
	s, err := m.status()
	if err != nil {
		return nil
	}
	if s.Fence > 0 {
		m.RaiseFence(s.Fence)
	}
	m.forget(s)
	if !s.Joined {
		return m.reform(s)
	}
	if s.Held == nil {
		return nil
	}
	return m.voted(*s.Held, s.HeldFence, true, true)
}

// status reads the engine's status. A restart of the engine ends what this
// member knows of its rounds.
func (m *Member) status() (Status, error) {
	s, err := m.engine.Status()
	if err != nil || s.Instance == m.instance {
		return s, err
	}
	m.instance = s.Instance
	m.reports = map[int]Report{}
	m.asked = map[int]int64{}
	clear(m.ballots)
	return s, nil
}

// forget drops the ballots of steps that are over.
func (m *Member) forget(s Status) {
	for id := range m.ballots {
		if id.Round != s.Round || id.Step <= s.Completed {
			delete(m.ballots, id)
		}
	}
}
