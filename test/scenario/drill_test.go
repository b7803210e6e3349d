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
	// drillTerm is the term of the drill's lease, drillLimit bounds a drill.
	drillTerm  = time.Minute
	drillLimit = 20 * time.Second
	// drillAhead is how many steps ahead a drill's switch lies.
	drillAhead = 400
	drillLease = "lease/planner/g"
)

// drill gives a planner's orders one by one, so that a script can stop
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

// checkDrill is "check drill KV stage|switch AGENT...": it takes the planner's
// lease of group g and gives one order to the agents, until all have taken it.
func checkDrill(args []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), drillLimit)
	defer cancel()
	kv := platform.NewStore(args[0], 2*time.Second)
	holder := lease.Holder{KV: kv, Clock: clockwork.NewRealClock(), Key: drillLease, Process: "drill", TTL: drillTerm}
	if err := holder.Refresh(ctx); err != nil && fault.KindOf(err) != fault.Conflict {
		return err
	}
	d := &drill{answers: make(chan *wire.MapAnswer, 16)}
	var err error
	if _, d.fence, err = lease.ReadHolder(ctx, kv, drillLease); err != nil {
		return err
	}
	for _, address := range args[2:] {
		if err := d.dial(ctx, address); err != nil {
			return err
		}
	}
	return d.give(ctx, args[1])
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

// ask sends a message to one agent and waits for its answer.
func (d *drill) ask(ctx context.Context, c *wire.Conn, m wire.Message) (*wire.MapAnswer, error) {
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

func (d *drill) give(ctx context.Context, order string) error {
	s, err := d.ask(ctx, d.conns[0], &wire.MapStatusQuery{})
	if err != nil {
		return err
	}
	pinned := [][]int{{0, 1}, {0, 1}, {0, 1}, {0, 1}, {1, 2}, {1, 2}, {0, 2}, {0, 2}}
	target, err := planner.Pinned(&s.Map, pinned)
	if err != nil {
		return err
	}
	target.Version = expertmap.Version(d.fence, 1)
	var m wire.Message = &wire.MapStage{Group: "g", Fence: d.fence, Map: *target}
	if order == "switch" {
		id := expertmap.SwitchID{Round: s.Status.Round, Version: target.Version, Step: s.Status.Next + drillAhead}
		m = &wire.MapSwitch{Group: "g", Fence: d.fence, ID: id}
	}
	for _, c := range d.conns {
		if err := d.until(ctx, c, m); err != nil {
			return err
		}
		if err := d.staged(ctx, c, target.Version); err != nil {
			return err
		}
	}
	fmt.Println("taken")
	return nil
}

// until repeats an order that the agent can't take yet.
func (d *drill) until(ctx context.Context, c *wire.Conn, m wire.Message) error {
	for {
		a, err := d.ask(ctx, c, m)
		if err != nil || a.Reason == "" {
			return err
		}
		if a.Reason != fault.Unavailable {
			return fmt.Errorf("%s: %s", a.Reason, a.Message)
		}
		pollPause()
	}
}

// staged waits until a rank has the weights of a map in place.
func (d *drill) staged(ctx context.Context, c *wire.Conn, version int64) error {
	for {
		a, err := d.ask(ctx, c, &wire.MapStatusQuery{})
		if err != nil || slices.Contains(a.Status.Staged, version) {
			return err
		}
		pollPause()
	}
}
