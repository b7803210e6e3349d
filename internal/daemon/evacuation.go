package daemon

import (
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/evacuation"
	"github.com/kingcupreel/kingcupreel/internal/feed"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/wire"
	"github.com/kingcupreel/kingcupreel/platform"
)

// operatorPrefix returns the prefix of the keys that are followed for the operator's
// configuration. Where the platform evacuates, one watch serves for both.
func (p *platformProcess) operatorPrefix() string {
	if p.node.EvacuationBound > 0 {
		return platform.PrefixOperator
	}
	return platform.KeyConfiguration
}

// operatorFeed returns the feed of the configuration and, where the platform evacuates, of
// the evacuations. These are applied first, so that an entry that knows a configuration, and
// may take work, knows them too.
func (g *gatewayProcess) operatorFeed() *feed.Feed {
	f := &feed.Feed{Prefix: g.operatorPrefix(), Sink: g.configurationSink(), WatchTimeout: scale(g.node.ConfigBound, configurationWatchFactor)}
	if g.evacuations == nil {
		return f
	}
	f.Sink = feed.Sinks{platform.EvacuationSink{Table: g.evacuations, Log: g.log}, f.Sink}
	f.WatchTimeout = min(f.WatchTimeout, scale(g.node.EvacuationBound, evacuationWatchFactor))
	return f
}

// initEvacuations creates the table of evacuated data centres where the platform evacuates.
func (g *gatewayProcess) initEvacuations() error {
	if g.node.EvacuationBound == 0 {
		return nil
	}
	g.evacuations = evacuation.NewTable(g.clock, g.log)
	g.evacuations.OnChange(g.applyEvacuations)
	return g.registerGauges(map[string]func() int64{
		"evacuations.in_force": func() int64 { return int64(len(g.evacuations.InForce())) },
	})
}

// applyEvacuations puts the evacuations in force and passes them on at once. A data centre that
// is evacuated no longer counts as heard from now: where it has no entries, it could not be
// heard while it got no requests.
func (g *gatewayProcess) applyEvacuations(ended []string) {
	for _, name := range ended {
		g.reachability.Heard(name)
	}
	if len(ended) > 0 {
		g.gateway.Pools.SetReachable(g.reachability.Reachable)
	}
	g.gateway.Pools.SetEvacuated(g.evacuations.Evacuated)
	g.exchange.TriggerDigest()
	for _, name := range g.evacuations.InForce() {
		upstreams := g.gateway.Pools.InDataCentre(name)
		if upstreams == 0 && g.directory.Synced() {
			g.log.Warn("no upstream is known in an evacuated data centre; check its name if it should have some", zap.String("data_centre", name))
			continue
		}
		g.log.Info("upstreams get no further requests", zap.String("data_centre", name), zap.Int("upstreams", upstreams))
	}
}

// Evacuations implements fleet.SharedState.
func (s *sharedState) Evacuations() (list []wire.Evacuation, news bool) {
	if s.evacuations == nil {
		return nil, false
	}
	records, news := s.evacuations.Records()
	for _, r := range records {
		list = append(list, wire.Evacuation{DataCentre: r.DataCentre, InForce: r.InForce, Era: r.Position.Era, Revision: r.Position.Revision})
	}
	return list, news
}

// MergeEvacuations implements fleet.SharedState.
func (s *sharedState) MergeEvacuations(list []wire.Evacuation, from string) {
	if s.evacuations == nil {
		return
	}
	var records []evacuation.Record
	for _, e := range list {
		records = append(records, evacuation.Record{DataCentre: e.DataCentre, InForce: e.InForce, Position: kvstore.Position{Era: e.Era, Revision: e.Revision}})
	}
	s.evacuations.Merge(records, from)
}
