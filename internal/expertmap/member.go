package expertmap

import "github.com/kingcupreel/kingcupreel/internal/fault"

// Member is the agent's side of the protocol: it votes for its rank, collects
// the votes of the other ranks and resumes its engine. It keeps no state that
// must survive a restart: every vote and report that it has sent is stored in
// the engine. It is not safe for concurrent use.
//
// Each method returns the messages to send to every other member. A message
// that is lost is sent again by a later Tick.
type Member struct {
	rank, ranks int
	engine      Engine
	// fence is the highest fencing number seen. Orders are refused until
	// fenceKnown is set: a restarted agent first has to read the number.
	fence      int64
	fenceKnown bool
	// ballots holds the votes of undecided switches.
	ballots map[SwitchID]*ballot
	// instance is the engine's run for which the fields below hold.
	instance string
	// reports holds the reports of round, the newest round known, by rank.
	round   int64
	reports map[int]Report
	// peerRounds holds the rounds of the other ranks that have answered this
	// rank's RoundQuery, by rank.
	peerRounds map[int]int64
}

// ballot holds the votes received for one switch, by rank.
type ballot struct {
	fence int64
	votes map[int]bool
}

// NewMember returns the member for one rank of a group with the given number of
// ranks.
func NewMember(rank, ranks int, engine Engine) *Member {
	return &Member{rank: rank, ranks: ranks, engine: engine, ballots: map[SwitchID]*ballot{}, peerRounds: map[int]int64{}}
}

// RaiseFence raises the lowest fencing number that is accepted to floor, a
// number read from the planner's lease. A lease acquired later has a higher
// number.
func (m *Member) RaiseFence(floor int64) {
	m.fence = max(m.fence, floor)
	m.fenceKnown = true
}

// CheckFence refuses an order with an old fencing number and stores a newer
// number.
func (m *Member) CheckFence(fence int64) error {
	if !m.fenceKnown {
		return fault.New(fault.Unavailable, "send the order again once the agent has read the planner's lease", "the agent has restarted and has not read the highest fencing number yet")
	}
	if fence < m.fence {
		return fault.New(fault.Stale, "acquire the planner's lease before sending orders", "fencing number %d is older than %d", fence, m.fence)
	}
	m.fence = fence
	return nil
}

// Fence returns the highest fencing number seen and whether it is known.
func (m *Member) Fence() (int64, bool) { return m.fence, m.fenceKnown }

// Order handles a planner's order to vote on a switch.
func (m *Member) Order(o Order) ([]Message, error) {
	if err := m.CheckFence(o.Fence); err != nil {
		return nil, err
	}
	if o.ID.Step == RestartStep {
		return m.startRestart(o)
	}
	yes, err := m.engine.Hold(o.ID, o.Fence)
	if err != nil {
		return nil, err
	}
	return m.castVote(o.ID, o.Fence, yes, true), nil
}

// startRestart starts the next round with a report that wants the order's map.
func (m *Member) startRestart(o Order) ([]Message, error) {
	s, err := m.status()
	if err != nil {
		return nil, err
	}
	if !s.Formed || s.Round != o.ID.Round {
		return nil, fault.New(fault.Stale, "order the restart again in the group's current round", "the restart is for round %d but the rank is in round %d", o.ID.Round, s.Round)
	}
	return m.stopAndReport(s.Round+1, o.ID.Version, true), nil
}

// castVote records the rank's own vote, resumes the engine if the switch is
// decided by it, and returns the vote as a message.
func (m *Member) castVote(id SwitchID, fence int64, yes, ask bool) []Message {
	b := m.ballot(id, fence)
	b.votes[m.rank] = yes
	m.resumeIfDecided(id, b)
	return []Message{Vote{ID: id, Fence: fence, Rank: m.rank, Yes: yes, Ask: ask}}
}

// ballot returns the ballot of a switch and creates it if needed.
func (m *Member) ballot(id SwitchID, fence int64) *ballot {
	b := m.ballots[id]
	if b == nil {
		b = &ballot{fence: fence, votes: map[int]bool{}}
		m.ballots[id] = b
	}
	return b
}

// Vote handles another member's vote.
func (m *Member) Vote(v Vote) []Message {
	b := m.ballot(v.ID, v.Fence)
	b.votes[v.Rank] = v.Yes
	_, own := b.votes[m.rank]
	if own && !v.Ask {
		m.resumeIfDecided(v.ID, b)
		return nil
	}
	yes, err := m.voteForPeer(v)
	if err != nil {
		delete(m.ballots, v.ID)
		return nil
	}
	return m.castVote(v.ID, v.Fence, yes, false)
}

// voteForPeer returns the rank's vote on a switch that it learned of from
// another member's vote. The vote is no if the fencing number is old or if the
// highest number is not known yet, unless the engine has already recorded a yes.
func (m *Member) voteForPeer(v Vote) (bool, error) {
	if m.CheckFence(v.Fence) != nil {
		return m.engine.Refuse(v.ID)
	}
	return m.engine.Hold(v.ID, v.Fence)
}

// resumeIfDecided resumes the engine once the outcome is known: the switch
// happens if every rank voted yes, and fails on the first no. It does nothing
// if this rank voted no, since its engine then holds no step for the switch.
func (m *Member) resumeIfDecided(id SwitchID, b *ballot) {
	if !b.votes[m.rank] {
		return
	}
	for _, yes := range b.votes {
		if !yes {
			m.resumeEngine(id, false)
			return
		}
	}
	if len(b.votes) == m.ranks {
		m.resumeEngine(id, true)
	}
}

// resumeEngine ends the hold of a switch, under its map if switched is set,
// else under the active map.
func (m *Member) resumeEngine(id SwitchID, switched bool) {
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

// Tick requests what is still missing: votes on the switch that the engine is
// held for, and reports of a round that is forming.
func (m *Member) Tick() []Message {
	s, err := m.status()
	if err != nil {
		return nil
	}
	if s.Fence > 0 {
		m.RaiseFence(s.Fence)
	}
	m.dropFinishedBallots(s)
	if !s.Joined {
		return m.rejoin(s)
	}
	if s.Held == nil {
		return nil
	}
	return m.castVote(*s.Held, s.HeldFence, true, true)
}

// status reads the engine's status. After a restart of the engine it drops
// everything that this member knows about rounds and votes.
func (m *Member) status() (Status, error) {
	s, err := m.engine.Status()
	if err != nil || s.Instance == m.instance {
		return s, err
	}
	m.instance = s.Instance
	m.reports = map[int]Report{}
	m.peerRounds = map[int]int64{}
	clear(m.ballots)
	return s, nil
}

// dropFinishedBallots removes the ballots of other rounds and of completed
// steps.
func (m *Member) dropFinishedBallots(s Status) {
	for id := range m.ballots {
		if id.Round != s.Round || id.Step <= s.Completed {
			delete(m.ballots, id)
		}
	}
}
