package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/admission"
	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
)

// admitter guards the admission state. Its lock is a leaf.
type admitter struct {
	mu         sync.Mutex
	controller *admission.Controller
	usage      *admission.Usage
	rand       *rand.Rand
}

func newAdmitter() *admitter {
	usage := admission.NewUsage()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	controller := admission.NewController(clockwork.NewRealClock(), rng, usage, admission.Options{})
	return &admitter{controller: controller, usage: usage, rand: rng}
}

// setLimits takes the client accounts' limits, so that this entry answers
// digests also of accounts that it has no requests of.
func (a *admitter) setLimits(s *config.Snapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, account := range s.Accounts {
		if account.MaxInFlight > 0 {
			a.usage.SetLimit(admission.AccountKey(account.Name), account.MaxInFlight)
		}
	}
}

// admit waits until the request may start, or refuses it. release must be
// called at the request's end; served says whether it got its answer.
func (e *Entry) admit(ctx context.Context, req *request) (release func(served bool), err error) {
	decided := make(chan admission.Decision, 1)
	t := e.offer(ctx, req, decided)
	var d admission.Decision
	select {
	case d = <-decided:
	case <-ctx.Done():
		if e.withdraw(t) {
			return nil, e.refusal(req, admission.Decision{Reason: admission.Deadline, RetryAfter: e.retryAfter(req.pool)})
		}
		d = <-decided
	}
	if !d.Start {
		return nil, e.refusal(req, d)
	}
	e.event(timeline.Event{Kind: timeline.Admitted, Object: req.account.Name, Request: req.id})
	return func(served bool) { e.released(t, served) }, nil
}

func (e *Entry) offer(ctx context.Context, req *request, decided chan<- admission.Decision) *admission.Ticket {
	deadline, _ := ctx.Deadline()
	a := req.account
	e.admitter.mu.Lock()
	defer e.admitter.mu.Unlock()
	return e.admitter.controller.Offer(admission.Request{
		Pool: req.pool, Account: a.Name, Priority: a.Priority, Share: a.Share, MaxInFlight: a.MaxInFlight,
		Deadline:   deadline,
		OnDecision: func(d admission.Decision) { decided <- d },
	})
}

func (e *Entry) withdraw(t *admission.Ticket) bool {
	e.admitter.mu.Lock()
	defer e.admitter.mu.Unlock()
	return e.admitter.controller.Withdraw(t)
}

func (e *Entry) released(t *admission.Ticket, served bool) {
	e.admitter.mu.Lock()
	defer e.admitter.mu.Unlock()
	e.admitter.controller.Finish(t, served)
}

// retryAfter returns when a caller may come back to a pool that can't take its
// request.
func (e *Entry) retryAfter(pool string) time.Duration {
	e.admitter.mu.Lock()
	defer e.admitter.mu.Unlock()
	return e.admitter.controller.RetryAfter(pool)
}

// refusal returns the caller's error.
func (e *Entry) refusal(req *request, d admission.Decision) error {
	e.count("admission.refused." + string(d.Reason))
	const remedy = "send the request again after Retry-After"
	var err *fault.Error
	switch d.Reason {
	case admission.Limit:
		err = fault.New(fault.Overloaded, remedy+", or ask an operator to raise maxInFlight", "client account %s has %d requests in flight", req.account.Name, req.account.MaxInFlight)
	case admission.Deadline:
		err = fault.New(fault.Unavailable, remedy+", or allow more time with Request-Timeout", "the request can't end within its deadline")
	default:
		err = fault.New(fault.Overloaded, remedy, "the queue is full of more urgent requests")
	}
	return err.After(d.RetryAfter)
}
