package gateway

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/directory"
	"github.com/kingcupreel/kingcupreel/internal/membership"
	"github.com/kingcupreel/kingcupreel/internal/ratelimit"
	"github.com/kingcupreel/kingcupreel/internal/routing"
	"github.com/kingcupreel/kingcupreel/internal/warmup"
)

// A cold upstream of a service that declares a warm-up bears few requests from all entries
// together. Its limit is shared out like one that upstreams name (see limits.go), but by turns
// that all entries compute alike, since requests beyond it crash the upstream. An entry that
// doesn't know the others sends none until the upstream is warm.

// serviceWarmup is the warm-up that a service declares.
type serviceWarmup struct {
	length time.Duration
	rate   float64
}

// warmups is what is known of the warm-up of the services' upstreams. It is guarded by
// Pools.mu.
type warmups struct {
	services  map[string]serviceWarmup
	upstreams map[directory.Departure]*upstreamWarmup
	// overage and allowance are as in warmup.Limit.
	overage, allowance float64
	// self is the name of this entry and entries those of all entries, empty while they
	// aren't known.
	self    string
	entries []string
}

// upstreamWarmup is the warm-up of one incarnation.
type upstreamWarmup struct {
	warmup.Coldness
	service string
	// share is the entry's share of what the upstream bears while it is cold.
	share ratelimit.Share
	// logged is set if the log says that the upstream is cold.
	logged bool
}

func newWarmups() warmups {
	return warmups{services: map[string]serviceWarmup{}, upstreams: map[directory.Departure]*upstreamWarmup{}}
}

// configureWarmups sets the warm-ups that services declare. The caller holds mu.
func (p *Pools) configureWarmups(services []routing.Service) {
	declared := map[string]serviceWarmup{}
	for _, s := range services {
		if s.Warmup > 0 && s.WarmupRate > 0 {
			declared[s.Name] = serviceWarmup{s.Warmup, s.WarmupRate}
		}
	}
	if maps.Equal(declared, p.warmups.services) {
		return
	}
	p.warmups.services = declared
	for _, m := range p.members {
		p.trackWarmup(m)
	}
	p.shareWarmups()
}

// SetWarmupBound sets at how many requests in a second cold upstreams crash: overage times the
// rate that their service declares, plus allowance.
func (p *Pools) SetWarmupBound(overage, allowance float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warmups.overage, p.warmups.allowance = overage, allowance
	p.shareWarmups()
}

// SetEntries sets the name of this entry and those of all entries, none if they aren't known.
func (p *Pools) SetEntries(self string, entries []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if self == p.warmups.self && slices.Equal(entries, p.warmups.entries) {
		return
	}
	p.warmups.self, p.warmups.entries = self, entries
	p.shareWarmups()
}

// trackWarmup makes a member follow the warm-up of its incarnation. The caller holds mu.
func (p *Pools) trackWarmup(m *Member) {
	declared, now := p.warmups.services[m.Service], p.clock.Now()
	if declared.length == 0 {
		m.node.SetWarmup(nil)
		delete(p.warmups.upstreams, m.Incarnation())
		return
	}
	w := p.warmups.upstreams[m.Incarnation()]
	if w == nil {
		var started time.Time
		if m.Started > 0 {
			started = time.UnixMilli(m.Started)
		}
		w = &upstreamWarmup{Coldness: warmup.New(started, m.Warmup, declared.length, now)}
		p.warmups.upstreams[m.Incarnation()] = w
	}
	w.service = m.Service
	m.node.SetWarmup(&w.share)
	p.shareWarmup(m.ID, w, now)
}

// shareWarmup sets the entry's share of what an upstream bears while it is cold. The caller
// holds mu.
func (p *Pools) shareWarmup(id string, w *upstreamWarmup, now time.Time) {
	if w.Left(now) == 0 {
		w.share.Clear()
		return
	}
	limit := warmup.Limit{Rate: p.warmups.services[w.service].rate, Overage: p.warmups.overage, Allowance: p.warmups.allowance}
	place := slices.Index(membership.RendezvousOrder("warm-up:"+id, p.warmups.entries), p.warmups.self)
	until, _ := w.Until()
	w.share.SetSpaced(limit.Interval(place, len(p.warmups.entries)), until)
}

// shareWarmups sets the shares of all upstreams. The caller holds mu.
func (p *Pools) shareWarmups() {
	now := p.clock.Now()
	for incarnation, w := range p.warmups.upstreams {
		p.shareWarmup(incarnation.ID, w, now)
	}
}

// removeWarmups forgets the incarnations that are neither in use nor cold. The caller holds mu.
func (p *Pools) removeWarmups(now time.Time) {
	maps.DeleteFunc(p.warmups.upstreams, func(incarnation directory.Departure, w *upstreamWarmup) bool {
		m := p.members[incarnation.ID]
		return (m == nil || m.Incarnation() != incarnation) && w.Left(now) == 0
	})
}

// applyWarmup changes what is known of the member's warm-up. The caller holds mu.
func (p *Pools) applyWarmup(m *Member, change func(w *upstreamWarmup, length time.Duration, now time.Time)) {
	if w := p.warmups.upstreams[m.Incarnation()]; w != nil {
		now := p.clock.Now()
		change(w, p.warmups.services[w.service].length, now)
		p.shareWarmup(m.ID, w, now)
	}
}

// applyRecordedWarmup applies the time for which the member's record says that it stays cold.
// The caller holds mu.
func (p *Pools) applyRecordedWarmup(m *Member, left time.Duration) {
	if w := p.warmups.upstreams[m.Incarnation()]; w != nil && w.ApplyRecord(left, p.clock.Now()) {
		p.shareWarmup(m.ID, w, p.clock.Now())
	}
}

// applyAnsweredWarmup applies the time for which an answer says that the upstream stays cold.
func (m *Member) applyAnsweredWarmup(left time.Duration) {
	m.pools.mu.Lock()
	defer m.pools.mu.Unlock()
	m.pools.applyWarmup(m, func(w *upstreamWarmup, _ time.Duration, now time.Time) { w.ApplyAnswer(left, now) })
}

// applyLaterStart counts the upstream at an address as cold if a load report shows that a later
// incarnation has started there. The caller holds mu.
func (p *Pools) applyLaterStart(m *Member, started int64) {
	if m == nil || m.Started == 0 || started <= m.Started {
		return
	}
	p.applyWarmup(m, func(w *upstreamWarmup, length time.Duration, now time.Time) {
		w.ApplyLaterStart(time.UnixMilli(started), length, now)
	})
}

// countAsCold counts an upstream whose data centre is given back as cold, unless it has said
// lately whether it is. The caller holds mu.
func (p *Pools) countAsCold(m *Member) {
	p.applyWarmup(m, func(w *upstreamWarmup, length time.Duration, now time.Time) { w.ApplyReturn(length, now) })
}

func (m *Member) isCold() bool {
	m.pools.mu.Lock()
	defer m.pools.mu.Unlock()
	return m.node.Cold(m.pools.clock.Now())
}

// Cold returns the number of upstreams in use that are cold.
func (p *Pools) Cold() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count, now := 0, p.clock.Now()
	for _, m := range p.members {
		if m.node.Cold(now) {
			count++
		}
	}
	return count
}

// warmupNews describes the upstreams that have turned cold, or warm, since the last call.
type warmupNews struct {
	cold, warm int
	// sources counts the upstreams that have turned cold by what shows that. longest is the
	// longest time until one is warm, permitted the number of those to which this entry may
	// send requests, and permitsPerSecond the rate of all its permits.
	sources          map[warmup.Source]int
	longest          time.Duration
	permitted        int
	permitsPerSecond float64
}

func (p *Pools) takeWarmupNews() warmupNews {
	p.mu.Lock()
	defer p.mu.Unlock()
	news, now := warmupNews{sources: map[warmup.Source]int{}}, p.clock.Now()
	for _, m := range p.members {
		w := p.warmups.upstreams[m.Incarnation()]
		if w == nil {
			continue
		}
		cold := m.node.Cold(now)
		switch {
		case cold && !w.logged:
			_, source := w.Until()
			news.cold++
			news.sources[source]++
			news.longest = max(news.longest, w.Left(now))
			if interval := w.share.Interval(); interval < w.Left(now) {
				news.permitted++
				news.permitsPerSecond += 1 / interval.Seconds()
			}
		case !cold && w.logged:
			news.warm++
		}
		w.logged = cold
	}
	return news
}

// logWarmups logs which upstreams have turned cold or warm.
func (g *Gateway) logWarmups() {
	news := g.Pools.takeWarmupNews()
	if news.cold > 0 {
		g.Log.Info("upstreams are cold", zap.Int("upstreams", news.cold), zap.Any("sources", news.sources), zap.Duration("longest", news.longest),
			zap.Int("permitted", news.permitted), zap.Float64("permits_per_second", news.permitsPerSecond), zap.Int("cold", g.Pools.Cold()))
	}
	if news.warm > 0 {
		g.Log.Info("upstreams are warm", zap.Int("upstreams", news.warm), zap.Int("cold", g.Pools.Cold()))
	}
}
