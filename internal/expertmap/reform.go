package expertmap

import "github.com/kingcupreel/kingcupreel/internal/fault"

// An engine that restarts is no longer part of the group. Its agent asks every
// other member for its round and starts the next one: all ranks stop and report
// in that round, then form again under the newest map under which any of them
// has begun a step. A report is final for its round, as a vote is for its
// switch.
//
// Engines that can't hold a step switch maps in the same way: an order to
// restart under a staged map starts a round in which every rank that has staged
// the map wants it.

// rejoin takes the next step towards a new round for a rank that has not joined
// its group.
func (m *Member) rejoin(s Status) []Message {
	if s.Round > 0 {
		return m.stopAndReport(s.Round, 0, true)
	}
	if len(m.peerRounds) < m.ranks-1 {
		return []Message{RoundQuery{Rank: m.rank, Instance: s.Instance}}
	}
	newest := m.round
	for _, round := range m.peerRounds {
		newest = max(newest, round)
	}
	return m.stopAndReport(newest+1, 0, true)
}

// stopAndReport stops the engine in a round and returns its report as a
// message, followed by the messages that the report causes.
func (m *Member) stopAndReport(round, want int64, ask bool) []Message {
	own, err := m.engine.Stop(round, want)
	if err != nil {
		return nil
	}
	own.Ask = ask
	return append([]Message{own}, m.addReport(own)...)
}

// addReport stores a report of the newest round, and forms the group once all
// reports are there.
//
// An engine that started a round and died before its report reached anyone may
// choose the same round number again and report something else. A rank that has
// formed on the first report then gets a Conflict and starts the next round.
func (m *Member) addReport(r Report) []Message {
	if r.Round > m.round {
		m.round = r.Round
		m.reports = map[int]Report{}
	}
	if r.Round < m.round {
		return nil
	}
	m.reports[r.Rank] = r
	if len(m.reports) < m.ranks {
		return nil
	}
	var version, completed int64
	for _, other := range m.reports {
		version = max(version, other.Active)
		completed = max(completed, other.Completed)
	}
	err := m.engine.Form(m.round, max(version, commonWant(m.reports)), completed)
	if fault.KindOf(err) == fault.Conflict {
		return m.stopAndReport(m.round+1, 0, true)
	}
	return nil
}

// commonWant returns the version that all reports want, or 0 if they differ.
func commonWant(reports map[int]Report) int64 {
	want := int64(-1)
	for _, r := range reports {
		if want >= 0 && r.Want != want {
			return 0
		}
		want = r.Want
	}
	return max(want, 0)
}

// RoundQuery answers a member whose engine is not in a round.
func (m *Member) RoundQuery(q RoundQuery) []Message {
	s, err := m.status()
	if err != nil {
		return nil
	}
	return []Message{RoundInfo{Rank: m.rank, Instance: q.Instance, Round: max(s.Round, m.round)}}
}

// RoundInfo handles an answer to this member's RoundQuery.
func (m *Member) RoundInfo(i RoundInfo) []Message {
	s, err := m.status()
	if err != nil || s.Round > 0 || i.Instance != s.Instance {
		return nil
	}
	m.peerRounds[i.Rank] = i.Round
	return nil
}

// Report handles another member's report.
func (m *Member) Report(r Report) []Message {
	s, err := m.status()
	if err != nil || s.Round == 0 {
		return nil
	}
	ask := r.Ask
	r.Ask = false
	out := m.addReport(r)
	switch {
	case r.Round > s.Round:
		return append(out, m.stopAndReport(r.Round, r.Want, true)...)
	case ask && r.Round == s.Round:
		return append(out, m.stopAndReport(r.Round, 0, false)...)
	}
	return out
}
