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

// storeRetryInterval is the time between two attempts to load from the weight
// store.
const storeRetryInterval = 100 * time.Millisecond

// stage records the map as known to rank r. In the background it loads the
// experts that the rank's active map does not place on it and then marks the
// map as staged.
func (g *Group) stage(r int, order engineapi.MapStage) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	member := g.ranks[r]
	engineStatus, _ := member.engine.Status()
	if err := member.engine.CheckFence(order.Fence); err != nil {
		return err
	}
	if err := order.Map.Validate(); err != nil {
		return err
	}
	if member.maps[order.Map.Version] != nil {
		return nil
	}
	var missing []int
	for _, e := range order.Map.Slots[r] {
		if active := member.maps[engineStatus.Active]; e != expertmap.Empty && (active == nil || !active.Holds(r, e)) {
			missing = append(missing, e)
		}
	}
	member.maps[order.Map.Version] = &order.Map
	g.recordOrder(AppliedOrder{Rank: r, Order: "stage", Fence: order.Fence, Version: order.Map.Version})
	go func() {
		for _, e := range missing {
			g.loadExpert(r, e)
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		_ = member.engine.Stage(order.Map.Version, order.Fence)
	}()
	return nil
}

// loadExpert waits for StageTime or, with a weight store, loads the expert from
// it, retrying until the store responds with 200.
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
		time.Sleep(storeRetryInterval)
	}
}
