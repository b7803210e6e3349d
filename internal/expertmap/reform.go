package expertmap

// A rank that restarts has lost its place in the group. Its agent asks every
// other member for the round and starts the next one: all ranks stop and report
// in it, and form again under the newest map that any of them has begun a step
// under. A report is final for its round, as a vote is for its switch.

// reform moves a rank without a group towards the next round.
func (m *Member) reform(s Status) []Message {
	if s.Round > 0 {
		return m.report(s.Round, true)
	}
	if len(m.asked) < m.ranks-1 {
		return []Message{RoundAsk{Rank: m.rank, Instance: s.Instance}}
	}
	next := m.round + 1
	for _, round := range m.asked {
		next = max(next, round+1)
	}
	return m.report(next, true)
}

// report stops the engine in a round and returns its report.
func (m *Member) report(round int64, ask bool) []Message {
	own, err := m.engine.Stop(round)
	if err != nil {
		return nil
	}
	m.collect(own)
	own.Ask = ask
	return []Message{own}
}

// collect keeps a report of the newest round, and forms the group when all are
// there.
func (m *Member) collect(r Report) {
	if r.Round > m.round {
		m.round = r.Round
		m.reports = map[int]Report{}
	}
	if r.Round < m.round {
		return
	}
	m.reports[r.Rank] = r
	if len(m.reports) < m.ranks {
		return
	}
	var version, completed int64
	for _, other := range m.reports {
		version = max(version, other.Active)
		completed = max(completed, other.Completed)
	}
	_ = m.engine.Form(m.round, version, completed)
}

// RoundAsk answers a member whose engine has no round.
func (m *Member) RoundAsk(a RoundAsk) []Message {
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
	m.collect(r)
	switch {
	case r.Round > s.Round:
		return m.report(r.Round, true)
	case ask && r.Round == s.Round:
		return m.report(r.Round, false)
	}
	return nil
}
