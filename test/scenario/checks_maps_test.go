package scenario

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/expertmap"
	"github.com/kingcupreel/kingcupreel/internal/standin/weights"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// forgeTimeout bounds the wait for an agent's answer.
const forgeTimeout = 5 * time.Second

// answerReceiver receives an agent's answers.
type answerReceiver struct{ answers chan *wire.MapAnswer }

// Receive implements wire.Handler.
func (f *answerReceiver) Receive(_ *wire.Conn, m wire.Message) {
	if a, ok := m.(*wire.MapAnswer); ok {
		f.answers <- a
	}
}

// parseFence returns the fencing number arg or, if arg is an operator URL, the
// number of the first plan there.
func parseFence(arg string) (int64, error) {
	if !strings.HasPrefix(arg, "http") {
		return strconv.ParseInt(arg, 10, 64)
	}
	plans, err := fetchPlans(arg)
	if err != nil || len(plans.Plans) == 0 {
		return 0, fmt.Errorf("no plans: %w", err)
	}
	return plans.Plans[0].Fence, nil
}

// checkForge implements "check forge AGENT PROCESS FENCE": it sends an agent
// forged orders to stage and to switch, under a process name and a fencing
// number, twice each, and prints the reasons in the answers.
func checkForge(args []string) error {
	fence, err := parseFence(args[2])
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), forgeTimeout)
	defer cancel()
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", args[0])
	if err != nil {
		return err
	}
	receiver := &answerReceiver{answers: make(chan *wire.MapAnswer, 8)}
	c := wire.NewConn(nc, receiver, wire.Options{})
	go func() { _ = c.Run(ctx) }()
	if err := c.Send(&wire.Hello{Process: args[1], Incarnation: "forged", Role: wire.RoleEntry}); err != nil {
		return err
	}
	m := expertmap.Map{Version: expertmap.Version(max(fence, 1), 1), Experts: 1, Slots: [][]int{{0}}, Shares: [][]float64{{1}}}
	for range 2 {
		_ = c.Send(&wire.MapStage{Group: "g", Fence: fence, Map: m})
		_ = c.Send(&wire.MapSwitch{Group: "g", Fence: fence, ID: expertmap.SwitchID{Round: 1, Version: m.Version, Step: 1 << 30}})
		for range 2 {
			select {
			case a := <-receiver.answers:
				fmt.Printf("reason=%q\n", a.Reason)
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		sleepPollInterval()
	}
	return nil
}

// checkLoads implements "check loads WEIGHTS_URL": it prints the number of
// loads that the weight store served and their size.
func checkLoads(args []string) error {
	var loads []weights.Load
	if err := fetch(args[0]+"/admin/loads", &loads); err != nil {
		return err
	}
	var total int64
	for _, l := range loads {
		total += l.Bytes
	}
	fmt.Printf("loads=%d bytes=%d\n", len(loads), total)
	return nil
}
