// Package demo runs an entry, agents and stand-ins of the outside systems in
// one process.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/config"
	v2 "github.com/kingcupreel/kingcupreel/internal/config/v2"
	"github.com/kingcupreel/kingcupreel/internal/daemon"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/settings"
	"github.com/kingcupreel/kingcupreel/internal/standin/engine"
	"github.com/kingcupreel/kingcupreel/internal/standin/kv"
	"github.com/kingcupreel/kingcupreel/internal/standin/plain"
)

const (
	// rankCount is the number of ranks of the demo's model group.
	rankCount = 2
	// CallerToken and OperatorToken are the bearer tokens that the demo accepts.
	CallerToken   = "demo-caller"
	OperatorToken = "demo-operator"

	dataCentre        = "demo-1"
	readyTimeout      = 30 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// Demo is a running deployment.
type Demo struct {
	// Caller and Ops are the entry's base URLs.
	Caller string
	Ops    string
}

// Start starts the deployment and waits until its entry is connected to all
// upstreams. Everything stops when ctx is done.
func Start(ctx context.Context) (*Demo, error) {
	store := kv.NewStore(clockwork.NewRealClock())
	platformURL, err := serve(ctx, kv.NewServer(store).Handler())
	if err != nil {
		return nil, err
	}
	upstreams, err := startUpstreams(ctx)
	if err != nil {
		return nil, err
	}
	if err := writeConfig(store, upstreams); err != nil {
		return nil, err
	}
	s := settings.Entry{Common: commonSettings("entry-1"), CallerListen: "127.0.0.1:0", Platform: platformURL, PlatformTimeout: 2 * time.Second, VMListInterval: time.Second}
	ready, err := startDaemon(func(out io.Writer) error { return daemon.RunEntry(ctx, s, out) })
	if err != nil {
		return nil, err
	}
	d := &Demo{Caller: "http://" + ready.Listen["caller"], Ops: "http://" + ready.Listen["ops"]}
	return d, d.awaitReady(ctx, len(upstreams))
}

func commonSettings(process string) settings.Common {
	return settings.Common{
		Process: process, DataCentre: dataCentre, InnerListen: "127.0.0.1:0", OpsListen: "127.0.0.1:0",
		LogLevel: "warn", HeartbeatInterval: time.Second, SilenceTimeout: 3 * time.Second, DrainTimeout: 10 * time.Second,
	}
}

// startUpstreams starts the engines, the plain service and their agents.
func startUpstreams(ctx context.Context) ([]*config.Upstream, error) {
	var upstreams []*config.Upstream
	for rank := range rankCount {
		h := engine.New(engine.Options{Capacity: 32, TokenTime: 20 * time.Millisecond, PrefillTime: 50 * time.Millisecond}).Handler()
		u := &config.Upstream{Name: fmt.Sprintf("rank-%d", rank), Group: "group-1", Rank: rank}
		if err := startUpstream(ctx, u, h); err != nil {
			return nil, err
		}
		upstreams = append(upstreams, u)
	}
	u := &config.Upstream{Name: "orders-1", Service: "orders"}
	if err := startUpstream(ctx, u, (&plain.Service{}).Handler()); err != nil {
		return nil, err
	}
	return append(upstreams, u), nil
}

func startUpstream(ctx context.Context, u *config.Upstream, h http.Handler) error {
	target, err := serve(ctx, h)
	if err != nil {
		return err
	}
	s := settings.Agent{Common: commonSettings("agent-" + u.Name), Upstream: u.Name, Target: target, Workers: 64, StallTimeout: 10 * time.Second, OrphanTimeout: 10 * time.Second}
	ready, err := startDaemon(func(out io.Writer) error { return daemon.RunAgent(ctx, s, out) })
	if err != nil {
		return err
	}
	u.VM = "vm-" + u.Name
	u.DataCentre = dataCentre
	u.Address = ready.Listen["inner"]
	return nil
}

// startDaemon starts a daemon in a goroutine and waits for its Ready line.
func startDaemon(run func(io.Writer) error) (daemon.Ready, error) {
	r, w := io.Pipe()
	go func() { w.CloseWithError(run(w)) }()
	var ready daemon.Ready
	if err := json.NewDecoder(r).Decode(&ready); err != nil {
		return ready, fault.Wrap(fault.Internal, err, "see the errors logged above", "starting a daemon")
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
	return ready, nil
}

// serve serves a handler on a free port until ctx is done and returns its base
// URL.
func serve(ctx context.Context, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	context.AfterFunc(ctx, func() { s.Close() })
	go func() { _ = s.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

func writeConfig(store *kv.Store, upstreams []*config.Upstream) error {
	objects := []config.Object{
		&config.ModelGroup{Name: "group-1", Model: "demo-model", Ranks: rankCount},
		&config.ClientAccount{Name: "demo", TokenSHA256: []string{config.HashToken(CallerToken)}, Priority: 5},
		&config.Operator{Name: "demo", TokenSHA256: []string{config.HashToken(OperatorToken)}},
		&config.PlainService{Name: "orders", NonIdempotent: []config.CallPattern{{Method: "POST", PathPrefix: "/refunds"}}},
	}
	for _, u := range upstreams {
		objects = append(objects, u)
	}
	for _, o := range objects {
		record, err := v2.Encode(o)
		if err != nil {
			return err
		}
		if _, err := store.Put(kvstore.Put{Key: o.Key().Path(), Value: record, Expect: kvstore.AnyRevision}); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until the entry is connected to all upstreams.
func (d *Demo) awaitReady(ctx context.Context, upstreams int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		if n, err := d.connectedUpstreams(ctx); err == nil && n == upstreams {
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.Wrap(fault.Timeout, ctx.Err(), "see the errors logged above", "waiting for the upstreams")
		case <-time.After(readyPollInterval):
		}
	}
}

// Complete sends one streaming completion request and copies the response to
// out.
func (d *Demo) Complete(ctx context.Context, prompt string, out io.Writer) error {
	body := fmt.Sprintf(`{"model":"demo-model","prompt":%q,"stream":true}`, prompt)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.Caller+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+CallerToken)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(out, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fault.New(fault.Unavailable, "see the response printed above", "the entry answered with status %d", resp.StatusCode)
	}
	return nil
}
