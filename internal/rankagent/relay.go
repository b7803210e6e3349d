package rankagent

import (
	"context"
	"math"
	"slices"
	"sync"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/ranks"
	"github.com/kingcupreel/kingcupreel/internal/telemetry"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// A map of a large group is several kilobytes, and one link that carries it to
// every rank keeps the switch waiting. Agents relay it: the leader sends it to one
// agent a branch, which sends it on to the others. What the ranks chose comes back
// the same way.

// branchedFrom is the number of ranks from which agents relay for others: below it
// the leader's own link carries all in a few milliseconds.
const branchedFrom = 24

// branched divides a list into about as many branches as each has members, so that
// all links carry the same. A short list has a branch for each member.
func branched[T any](list []T) [][]T {
	size := 1
	if len(list) >= branchedFrom {
		size = int(math.Ceil(math.Sqrt(float64(len(list)))))
	}
	return slices.Collect(slices.Chunk(list, size))
}

// branches divides orders that carry a map into branches; other orders go to each
// rank by itself, as does the one to the agent named self.
func branches(list []addressee, self string) [][]addressee {
	var all [][]addressee
	var open []addressee
	for _, to := range list {
		if to.order.Map == nil || to.peer.member.Name == self {
			all = append(all, []addressee{to})
			continue
		}
		open = append(open, to)
	}
	return append(all, branched(open)...)
}

// order has the orders of a branch carried out.
func (g *group) order(branch []addressee, answered func(addressee, *wire.RankState)) {
	if len(branch) == 1 {
		answered(branch[0], g.orderOne(branch[0].peer, branch[0].order))
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, askTimeout)
	defer cancel()
	head := branch[0].peer
	replies := make([]chan *wire.RankState, len(branch))
	m := &wire.RankRelay{Map: branch[0].order.Map}
	for i, to := range branch {
		nonce, reply := head.expect()
		defer head.forget(nonce)
		replies[i] = reply
		o := to.order
		o.Map = nil
		m.Orders = append(m.Orders, wire.RelayedOrder{Nonce: nonce, Agent: to.peer.member.Name, Order: o})
	}
	c := g.connect(head)
	sent := c != nil && c.Send(m) == nil
	var wg sync.WaitGroup
	for i, to := range branch {
		wg.Go(func() {
			var st *wire.RankState
			if sent {
				st = await(ctx, c, replies[i])
			}
			if st == nil || st.Verdict == ranks.Unknown {
				st = g.orderOne(to.peer, to.order)
			}
			answered(to, st)
		})
	}
	wg.Wait()
}

// relay carries out the orders that a leader has sent for this and other ranks.
func (a *Agent) relay(ctx context.Context, c *wire.Conn, others *group, m *wire.RankRelay) {
	others.refresh()
	telemetry.Counter(a.Metrics, "maps_relayed").Inc(1)
	for _, r := range m.Orders {
		o := r.Order
		o.Map = m.Map
		go func() {
			st := a.carryOutAt(ctx, others, r.Agent, o)
			st.Nonce = r.Nonce
			_ = c.Send(st) // without an answer the leader orders by itself
		}()
	}
}

// carryOutAt carries out an order at the rank of an agent. An agent that isn't
// known here leaves the verdict Unknown.
func (a *Agent) carryOutAt(ctx context.Context, others *group, agent string, o ranks.Order) *wire.RankState {
	if agent == a.Self.Name {
		return a.carryOut(ctx, o)
	}
	p := others.peer(agent)
	if p == nil {
		a.Log.Info("order not relayed: the agent isn't registered", zap.String("agent", agent), zap.Int64("version", o.Version))
		return &wire.RankState{}
	}
	return others.orderOne(p, o)
}
