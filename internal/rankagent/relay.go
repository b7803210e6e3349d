package rankagent

import (
	"context"
	"math"
	"slices"
	"sync"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fleet"
	"github.com/kingcupreel/kingcupreel/internal/ranks"
	"github.com/kingcupreel/kingcupreel/internal/telemetry"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// The map of a large group takes several kilobytes, and sending it to every rank over
// the leader's link would delay a switch. The group is therefore divided into branches:
// the leader sends the map to one agent of each branch, which relays it to the others.
// Selections are collected the same way (see survey).

// minBranchedRanks is the minimum number of ranks for relaying: with fewer, the leader's
// own link carries everything within a few milliseconds.
const minBranchedRanks = 24

// splitIntoBranches divides a list into branches. The number of branches is about equal
// to their size, so that all links carry about the same. A list with fewer than
// minBranchedRanks members becomes one branch per member.
func splitIntoBranches[T any](list []T) [][]T {
	size := 1
	if len(list) >= minBranchedRanks {
		size = int(math.Ceil(math.Sqrt(float64(len(list)))))
	}
	return slices.Collect(slices.Chunk(list, size))
}

// branchOrders divides orders that carry a map into branches. Orders without a map and
// the order to the agent named self become branches of one.
func branchOrders(list []addressedOrder, self string) [][]addressedOrder {
	var all [][]addressedOrder
	var withMap []addressedOrder
	for _, to := range list {
		if to.order.Map == nil || to.peer.member.Name == self {
			all = append(all, []addressedOrder{to})
			continue
		}
		withMap = append(withMap, to)
	}
	return append(all, splitIntoBranches(withMap)...)
}

// order sends the orders of a branch through its first agent and calls onAnswer with
// each answer, from several goroutines at once. An order without an answer, or with an
// Unknown verdict, is sent again to its rank alone. All orders of a branch carry the same
// map, so the relay message carries it once.
func (g *group) order(branch []addressedOrder, onAnswer func(addressedOrder, *wire.RankState)) {
	if len(branch) == 1 {
		onAnswer(branch[0], g.sendOrder(branch[0].peer, branch[0].order))
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, callTimeout)
	defer cancel()
	head := branch[0].peer
	replies := make([]<-chan *wire.RankState, len(branch))
	m := &wire.RankRelay{Map: branch[0].order.Map}
	for i, to := range branch {
		nonce, reply := head.Expect()
		defer head.Forget(nonce)
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
				st, _ = fleet.Await(ctx, c, replies[i]) // without an answer the order is sent again
			}
			if st == nil || st.Verdict == ranks.Unknown {
				st = g.sendOrder(to.peer, to.order)
			}
			onAnswer(to, st)
		})
	}
	wg.Wait()
}

// handleRelay carries out a leader's orders for this rank and other ranks, and answers
// each.
func (a *Agent) handleRelay(ctx context.Context, c *wire.Conn, peers *group, m *wire.RankRelay) {
	peers.refresh()
	telemetry.Counter(a.Metrics, "maps_relayed").Inc(1)
	for _, r := range m.Orders {
		o := r.Order
		o.Map = m.Map
		go func() {
			st := a.executeAt(ctx, peers, r.Agent, o)
			st.Nonce = r.Nonce
			_ = c.Send(st) // without an answer the leader sends the order itself
		}()
	}
}

// executeAt carries out an order at the rank of an agent. If the agent isn't known here,
// the verdict is Unknown.
func (a *Agent) executeAt(ctx context.Context, peers *group, agent string, o ranks.Order) *wire.RankState {
	if agent == a.Self.Name {
		return a.execute(ctx, o)
	}
	p := peers.peer(agent)
	if p == nil {
		a.Log.Info("order not relayed: the agent isn't registered", zap.String("agent", agent), zap.Int64("version", o.Version))
		return &wire.RankState{}
	}
	return peers.sendOrder(p, o)
}
