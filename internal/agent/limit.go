package agent

import (
	"net/http"
	"strconv"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/engineapi"
	"github.com/kingcupreel/kingcupreel/internal/ratelimit"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// namedLimit is the limit that the upstream has named in its answers.
type namedLimit struct {
	// rate is in requests a second; 0 for no limit.
	rate    float64
	namedAt time.Time
}

// applyLimit applies what an answer to a call that began at the given time says about the
// upstream's limit. An answer to a call from before the limit was last named doesn't end it.
func (a *Agent) applyLimit(h http.Header, calledAt time.Time) {
	rate := 0.0
	if text := h.Get(engineapi.HeaderRequestLimit); text != "" {
		var ok bool
		if rate, ok = ratelimit.ParseLimit(text); !ok {
			a.count("upstream.limits_invalid")
			return
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if rate == 0 && !calledAt.After(a.limit.namedAt) {
		return
	}
	a.limit.namedAt = a.opts.Clock.Now()
	if !ratelimit.Changed(a.limit.rate, rate) {
		return
	}
	a.limit.rate = rate
	a.opts.Events.Add(timeline.Event{Kind: timeline.UpstreamLimit, Object: a.opts.Hello.Upstream, Detail: strconv.FormatFloat(rate, 'g', -1, 64)})
	a.sendLimitShares()
}

// sendLimitShares sends every connected entry its share of the limit. The caller holds mu.
func (a *Agent) sendLimitShares() {
	var entries []*wire.Conn
	for c, hello := range a.conns {
		if hello.Upstream == "" {
			entries = append(entries, c)
		}
	}
	for _, c := range entries {
		_ = c.Send(&wire.RequestLimit{Rate: a.limit.rate / float64(len(entries))})
	}
}
