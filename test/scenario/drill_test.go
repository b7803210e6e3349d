package scenario

import (
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/expertmap"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/lease"
	"github.com/kingcupreel/kingcupreel/internal/planner"
	"github.com/kingcupreel/kingcupreel/internal/wire"
	"github.com/kingcupreel/kingcupreel/platform"
)

const (
	// drillLeaseTTL is the TTL of the drill's lease, drillTimeout bounds a
	// drill.
	drillLeaseTTL = time.Minute
	drillTimeout  = 20 * time.Second
	// drillLeadSteps is the number of steps from the group's next one to the
	// step of a drill's switch.
	drillLeadSteps = 400
	drillLeaseKey  = "lease/planner/g"
)

// drill sends a planner's orders one at a time, so that a script can stop
// processes between them.
type drill struct {
	fence   int64
	conns   []*wire.Conn
	answers chan *wire.MapAnswer
}

// Receive implements wire.Handler.
func (d *drill) Receive(_ *wire.Conn, m wire.Message) {
	if a, ok := m.(*wire.MapAnswer); ok {
		d.answers <- a
	}
}

// checkDrill implements "check drill KV stage|switch AGENT...": it acquires the
// planner's lease of group g, sends one order to the agents until all have
// accepted it, and prints "accepted".
func checkDrill(args []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), drillTimeout)
	defer cancel()
	kv := platform.NewStore(args[0], 2*time.Second)
	holder := lease.Holder{KV: kv, Clock: clockwork.NewRealClock(), Key: drillLeaseKey, Process: "drill", TTL: drillLeaseTTL}
	if err := holder.Refresh(ctx); err != nil && fault.KindOf(err) != fault.Conflict {
		return err
	}
	d := &drill{answers: make(chan *wire.MapAnswer, 16)}
	var err error
	if _, d.fence, err = lease.ReadHolder(ctx, kv, drillLeaseKey); err != nil {
		return err
	}
	for _, address := range args[2:] {
		if err := d.dial(ctx, address); err != nil {
			return err
		}
	}
	return d.sendOrder(ctx, args[1])
}

func (d *drill) dial(ctx context.Context, address string) error {
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	c := wire.NewConn(nc, d, wire.Options{})
	go func() { _ = c.Run(ctx) }()
	d.conns = append(d.conns, c)
	return c.Send(&wire.Hello{Process: "drill", Incarnation: "drill", Role: wire.RoleEntry})
}

// request sends a message to one agent and waits for its answer.
func (d *drill) request(ctx context.Context, c *wire.Conn, m wire.Message) (*wire.MapAnswer, error) {
	if err := c.Send(m); err != nil {
		return nil, err
	}
	select {
	case a := <-d.answers:
		return a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// sendOrder sends the order to the agents one after another. It waits until
// each has accepted it and has the weights of the map.
func (d *drill) sendOrder(ctx context.Context, order string) error {
	answer, err := d.request(ctx, d.conns[0], &wire.MapStatusQuery{})
	if err != nil {
		return err
	}
	pinned := [][]int{{0, 1}, {0, 1}, {0, 1}, {0, 1}, {1, 2}, {1, 2}, {0, 2}, {0, 2}}
	target, err := planner.Pinned(&answer.Map, pinned)
	if err != nil {
		return err
	}
	target.Version = expertmap.Version(d.fence, 1)
	var m wire.Message = &wire.MapStage{Group: "g", Fence: d.fence, Map: *target}
	if order == "switch" {
		id := expertmap.SwitchID{Round: answer.Status.Round, Version: target.Version, Step: answer.Status.Next + drillLeadSteps}
		m = &wire.MapSwitch{Group: "g", Fence: d.fence, ID: id}
	}
	for _, c := range d.conns {
		if err := d.sendUntilAccepted(ctx, c, m); err != nil {
			return err
		}
		if err := d.waitStaged(ctx, c, target.Version); err != nil {
			return err
		}
	}
	fmt.Println("accepted")
	return nil
}

// sendUntilAccepted resends an order while the agent answers that it can't
// accept it yet.
func (d *drill) sendUntilAccepted(ctx context.Context, c *wire.Conn, m wire.Message) error {
	for {
		a, err := d.request(ctx, c, m)
		if err != nil || a.Reason == "" {
			return err
		}
		if a.Reason != fault.Unavailable {
			return fmt.Errorf("%s: %s", a.Reason, a.Message)
		}
		sleepPollInterval()
	}
}

// waitStaged waits until a rank has loaded the weights of a map.
func (d *drill) waitStaged(ctx context.Context, c *wire.Conn, version int64) error {
	for {
		a, err := d.request(ctx, c, &wire.MapStatusQuery{})
		if err != nil || slices.Contains(a.Status.Staged, version) {
			return err
		}
		sleepPollInterval()
	}
}
