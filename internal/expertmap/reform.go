package expertmap

import "github.com/kingcupreel/kingcupreel/internal/fault"

// A rank that restarts has lost its place in the group. Its agent asks every
// other member for the round and starts the next one: all ranks stop and report
// in it, and form again under the newest map that any of them has begun a step
// under. A report is final for its round, as a vote is for its switch.
//
// The same way serves engines that can't hold a step: an order to restart under
// a staged map starts a round in which every rank that has it staged wants it.

// reform moves a rank without a group towards the next round.
func (m *Member) reform(s Status) []Message {
	if s.Round > 0 {
		return m.report(s.Round, 0, true)
	}
	if len(m.asked) < m.ranks-1 {
		return []Message{RoundQuery{Rank: m.rank, Instance: s.Instance}}
	}
	newest := m.round
	for _, round := range m.asked {
		newest = max(newest, round)
	}
	return m.report(newest+1, 0, true)
}

// report stops the engine in a round and returns its report.
func (m *Member) report(round, want int64, ask bool) []Message {
	own, err := m.engine.Stop(round, want)
	if err != nil {
		return nil
	}
	own.Ask = ask
	return append([]Message{own}, m.collect(own)...)
}

// collect keeps a report of the newest round, and forms the group when all are
// there. An engine that started a round and died before anyone heard of it may
// choose the same number again and report something else; whoever has formed on
// the first report then finds that it does not fit, and starts the next round.
func (m *Member) collect(r Report) []Message {
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
	err := m.engine.Form(m.round, max(version, wanted(m.reports)), completed)
	if fault.KindOf(err) == fault.Conflict {
		return m.report(m.round+1, 0, true)
	}
	return nil
}

// wanted returns the map that all reports want, or 0.
func wanted(reports map[int]Report) int64 {
	want := int64(-1)
	for _, r := range reports {
		if want >= 0 && r.Want != want {
			return 0
		}
		want = r.Want
	}
	return max(want, 0)
}

// RoundQuery answers a member whose engine has no round.
func (m *Member) RoundQuery(a RoundQuery) []Message {
	s, err := m.status()
	if err != nil {
		return nil
	}
	return []Message{RoundInfo{Rank: m.rank, Instance: a.Instance, Round: max(s.Round, m.round)}}
}

// RoundInfo takes the answer to this member's question.
func (m *Member) RoundInfo(i RoundInfo) []Message {
	s, err := m.status()
	if err != nil || s.Round > 0 || i.Instance != s.Instance {
		return nil
	}
	m.asked[i.Rank] = i.Round
	return nil
}

// Report takes another member's report.
func (m *Member) Report(r Report) []Message {
	s, err := m.status()
	if err != nil || s.Round == 0 {
		return nil
	}
	ask := r.Ask
	r.Ask = false
	out := m.collect(r)
	switch {
	case r.Round > s.Round:
		return append(out, m.report(r.Round, r.Want, true)...)
	case ask && r.Round == s.Round:
		return append(out, m.report(r.Round, 0, false)...)
	}
	return out
}
