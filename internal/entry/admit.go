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

// admitter guards the admission state. Its lock is a leaf lock.
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

// setLimits applies the client accounts' limits, so that this entry also
// answers digests about accounts that it has no requests of.
func (a *admitter) setLimits(s *config.Snapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, account := range s.Accounts {
		if account.MaxInFlight > 0 {
			a.usage.SetLimit(admission.AccountKey(account.Name), account.MaxInFlight)
		}
	}
}

// admit waits until the request may start, or returns the refusal. The caller
// must call release when the request ends; served reports whether the request
// was answered.
func (e *Entry) admit(ctx context.Context, req *request) (release func(served bool), err error) {
	decided := make(chan admission.Decision, 1)
	t := e.offer(ctx, req, decided)
	var d admission.Decision
	select {
	case d = <-decided:
	case <-ctx.Done():
		if e.withdraw(t) {
			if context.Cause(ctx) == errStopping {
				return nil, errStopping
			}
			return nil, e.refusalError(req, admission.Decision{Reason: admission.Deadline, RetryAfter: e.retryAfter(req.pool)})
		}
		d = <-decided
	}
	if !d.Start {
		return nil, e.refusalError(req, d)
	}
	e.event(timeline.Event{Kind: timeline.Admitted, Object: req.account.Name, Request: req.id})
	return func(served bool) { e.releaseTicket(t, served) }, nil
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

func (e *Entry) releaseTicket(t *admission.Ticket, served bool) {
	e.admitter.mu.Lock()
	defer e.admitter.mu.Unlock()
	e.admitter.controller.Finish(t, served)
}

// retryAfter returns the delay after which a caller may resend a request that
// the pool can't take.
func (e *Entry) retryAfter(pool string) time.Duration {
	e.admitter.mu.Lock()
	defer e.admitter.mu.Unlock()
	return e.admitter.controller.RetryAfter(pool)
}

// refusalError counts a refusal and returns the error for the caller.
func (e *Entry) refusalError(req *request, d admission.Decision) error {
	e.count("admission.refused." + string(d.Reason))
	const remedy = "send the request again after Retry-After"
	var err *fault.Error
	switch d.Reason {
	case admission.Limit:
		err = fault.New(fault.Overloaded, remedy+", or ask an operator to raise maxInFlight", "client account %s has reached its limit of %d requests in flight", req.account.Name, req.account.MaxInFlight)
	case admission.Deadline:
		err = fault.New(fault.Unavailable, remedy+", or allow more time with Request-Timeout", "the request can't complete before its deadline")
	default:
		err = fault.New(fault.Overloaded, remedy, "the queue is full of more urgent requests")
	}
	return err.After(d.RetryAfter)
}
