package fleet

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// digestInterval is how often an entry sends its state to others. It is a
	// quarter of the time within which a configuration change has to be in force.
	digestInterval = 500 * time.Millisecond
	// digestFanout is how many entries receive each digest. A change reaches n
	// entries in log(n)/log(fanout+1) intervals.
	digestFanout = 8
	// maxSharedLimits bounds the limits that are sent with one digest, so that they fit into
	// a datagram.
	maxSharedLimits = 16
	// maxDigestDepartures bounds the departures in one digest, so that it fits
	// into a datagram. The newest ones are sent.
	maxDigestDepartures = 24
	// maxDatagramEvacuations bounds the evacuations in one datagram, so that they fit.
	maxDatagramEvacuations = 8
	// quietEvacuationFanout is how many entries receive the evacuations with each digest
	// while there has been no change lately, so that a loss is made up for and an entry that
	// has started learns them.
	quietEvacuationFanout = 1
	// startQueries bounds the entries that an entry asks when it starts, startPollInterval is how
	// often it looks whether it knows any.
	startQueries      = 3
	startPollInterval = 50 * time.Millisecond
	// fetchTimeout bounds the fetch of a configuration from another entry.
	fetchTimeout = 1 * time.Second
)

// SharedState is the state of an entry that entries exchange.
type SharedState interface {
	// Version returns the version of the configuration in force, 0 for none.
	Version() int64
	// Encoded returns the configuration in force as it is encoded in the key-value
	// service.
	Encoded() []byte
	// ApplyConfiguration puts an encoded configuration in force if it is newer.
	// from is the name of the entry that sent it.
	ApplyConfiguration(encoded []byte, from string)
	// Departures returns the incarnations of upstreams that are known to be
	// leaving, the newest last.
	Departures() []wire.Departure
	// Depart records a departure. It returns false if the departure was already
	// known.
	Depart(d wire.Departure) bool
	// RecentLimits returns the latest limits that upstreams have named, or ended, in their
	// answers, at most max.
	RecentLimits(max int) []wire.UpstreamLimit
	// UpstreamsChange returns the position of the last change of the upstreams'
	// registrations that is known, ObserveUpstreamsChange records the one that
	// another entry knows.
	UpstreamsChange() kvstore.Position
	ObserveUpstreamsChange(at kvstore.Position)
	// Evacuations returns the evacuations that are known, and whether there is news of them.
	// MergeEvacuations records those that another entry knows.
	Evacuations() (list []wire.Evacuation, news bool)
	MergeEvacuations(list []wire.Evacuation, from string)
}

// Exchange synchronises an entry's state with other entries, whether or not the
// key-value service is reachable: each entry sends digests to a few others, and one that
// receives a higher configuration version fetches that configuration.
type Exchange struct {
	Self        string
	View        *View
	Datagrams   *Datagrams
	SharedState SharedState
	Clock       clockwork.Clock
	Log         *zap.Logger

	wake chan struct{}
	once sync.Once

	mu       sync.Mutex // leaf lock
	fetching bool
}

func (x *Exchange) init() { x.once.Do(func() { x.wake = make(chan struct{}, 1) }) }

// TriggerDigest sends the next digest without waiting for the interval.
func (x *Exchange) TriggerDigest() {
	x.init()
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// Run sends digests until ctx is done.
func (x *Exchange) Run(ctx context.Context) {
	x.init()
	ticker := x.Clock.NewTicker(digestInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-x.wake:
		}
		x.sendDigest()
	}
}

func (x *Exchange) sendDigest() {
	peers := x.View.Members(RoleEntry)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	change := x.SharedState.UpstreamsChange()
	d := &wire.EntryDigest{
		Entry: x.Self, Version: x.SharedState.Version(), Departures: x.SharedState.Departures(),
		UpstreamsEra: change.Era, UpstreamsRevision: change.Revision,
	}
	if excess := len(d.Departures) - maxDigestDepartures; excess > 0 {
		d.Departures = d.Departures[excess:]
	}
	limits := &wire.UpstreamLimits{Limits: x.SharedState.RecentLimits(maxSharedLimits)}
	evacuations, news := x.SharedState.Evacuations()
	evacuationFanout := quietEvacuationFanout
	if news {
		evacuationFanout = digestFanout
	}
	sent := 0
	for _, p := range peers {
		if p.Name == x.Self {
			continue
		}
		x.Datagrams.Send(p.Address, d)
		if len(limits.Limits) > 0 {
			x.Datagrams.Send(p.Address, limits)
		}
		if sent < evacuationFanout {
			for records := range slices.Chunk(evacuations, maxDatagramEvacuations) {
				x.Datagrams.Send(p.Address, &wire.Evacuations{Entry: x.Self, Records: records})
			}
		}
		if sent++; sent == digestFanout {
			return
		}
	}
}

// HandleDigest records the departures of a digest, propagates those that are
// new with a digest of its own, and fetches the sender's configuration if it is
// newer.
func (x *Exchange) HandleDigest(ctx context.Context, _ netip.AddrPort, d *wire.EntryDigest) {
	added := false
	for _, dep := range d.Departures {
		if x.SharedState.Depart(dep) {
			added = true
			x.Log.Info("upstream is leaving", zap.String("upstream", dep.ID), zap.Int64("started", dep.Started), zap.String("source", d.Entry))
		}
	}
	if added {
		x.TriggerDigest()
	}
	x.SharedState.ObserveUpstreamsChange(kvstore.Position{Era: d.UpstreamsEra, Revision: d.UpstreamsRevision})
	if d.Version > x.SharedState.Version() {
		x.startFetch(ctx, d.Entry, d.Version)
	}
}

// HandleEvacuations records the evacuations that another entry knows.
func (x *Exchange) HandleEvacuations(m *wire.Evacuations) {
	x.SharedState.MergeEvacuations(m.Records, m.Entry)
}

// LearnAtStart asks another entry for its configuration and its evacuations, once the others
// are known: what the service shows may be from an older copy. If one doesn't answer, it asks
// the next.
func (x *Exchange) LearnAtStart(ctx context.Context) {
	for !x.View.Synced() {
		select {
		case <-ctx.Done():
			return
		case <-x.Clock.After(startPollInterval):
		}
	}
	peers := x.View.Members(RoleEntry)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = slices.DeleteFunc(peers, func(m Member) bool { return m.Name == x.Self })
	for _, p := range peers[:min(len(peers), startQueries)] {
		err := x.fetch(ctx, p)
		if err == nil || ctx.Err() != nil {
			return
		}
		x.Log.Info("another entry gave no answer at the start", zap.String("from", p.Name), zap.Error(err))
	}
}

// startFetch fetches a configuration from another entry in the background.
// While a fetch is in progress it does nothing.
func (x *Exchange) startFetch(ctx context.Context, from string, version int64) {
	peer, ok := x.View.Get(from)
	if !ok {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.fetching {
		return
	}
	x.fetching = true
	go func() {
		defer func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.fetching = false
		}()
		if err := x.fetch(ctx, peer); err != nil {
			x.Log.Warn("failed to fetch the configuration from another entry", zap.String("from", from), zap.Int64("version", version), zap.Error(err))
		}
	}()
}

func (x *Exchange) fetch(ctx context.Context, peer Member) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply := make(chan *wire.ConfigurationReply, 1)
	handler := &wire.Mux{Funcs: map[wire.Kind]func(*wire.Conn, wire.Message){
		wire.KindConfigurationReply: func(_ *wire.Conn, m wire.Message) {
			select {
			case reply <- m.(*wire.ConfigurationReply):
			default:
			}
		},
	}}
	c, err := Dial(ctx, peer.Address, handler)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.Send(&wire.ConfigurationRequest{}); err != nil {
		return err
	}
	select {
	case r := <-reply:
		// Evacuations come first: with a configuration the entry may take work.
		x.SharedState.MergeEvacuations(r.Evacuations, peer.Name)
		if len(r.Encoded) > 0 {
			x.SharedState.ApplyConfiguration(r.Encoded, peer.Name)
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// SendConfiguration answers another entry's ConfigurationRequest with the
// configuration in force and the evacuations.
func (x *Exchange) SendConfiguration(c *wire.Conn, _ wire.Message) {
	encoded := x.SharedState.Encoded() // first, so that the evacuations aren't older
	evacuations, _ := x.SharedState.Evacuations()
	_ = c.Send(&wire.ConfigurationReply{Encoded: encoded, Evacuations: evacuations})
}
