package ranks

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/engineapi"
	"github.com/kingcupreel/kingcupreel/internal/expertmap"
	"github.com/kingcupreel/kingcupreel/internal/standin/weights"
)

// storeRetry is the time between two tries of a load that the store did not
// answer.
const storeRetry = 100 * time.Millisecond

// stage loads what a map needs beyond what the rank holds, in the background.
func (g *Group) stage(r int, order engineapi.MapStage) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := g.ranks[r]
	s, _ := k.gate.Status()
	if err := k.gate.CheckFence(order.Fence); err != nil {
		return err
	}
	if err := order.Map.Validate(); err != nil {
		return err
	}
	if k.maps[order.Map.Version] != nil {
		return nil
	}
	var missing []int
	for _, e := range order.Map.Slots[r] {
		if held := k.maps[s.Active]; e != expertmap.Empty && (held == nil || !held.Holds(r, e)) {
			missing = append(missing, e)
		}
	}
	k.maps[order.Map.Version] = &order.Map
	g.effect(AppliedOrder{Rank: r, Order: "stage", Fence: order.Fence, Version: order.Map.Version})
	go func() {
		for _, e := range missing {
			g.loadExpert(r, e)
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		_ = k.gate.Stage(order.Map.Version, order.Fence)
	}()
	return nil
}

// loadExpert takes the time of a load, or loads from the weight store until it
// has answered.
func (g *Group) loadExpert(r, expert int) {
	if g.opts.Weights == "" {
		time.Sleep(g.opts.StageTime)
		return
	}
	body, _ := json.Marshal(weights.Load{Rank: r, Expert: expert, Bytes: g.opts.ExpertBytes})
	for {
		resp, err := http.Post(g.opts.Weights+weights.PathLoad, "application/json", bytes.NewReader(body))
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(storeRetry)
	}
}
