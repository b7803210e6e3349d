// Package engine is a stand-in of a model engine: the OpenAI-style completions
// interface with server-sent events, continuous batching with limited capacity,
// and a record of every run. The generated text depends on the prompt alone, so
// that a checker can detect a wrong response.
package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupreel/kingcupreel/internal/engineapi"
	"github.com/kingcupreel/kingcupreel/internal/standin"
)

// DefaultMaxTokens is the length of a completion whose request sets no
// max_tokens.
const DefaultMaxTokens = 16

// Options configure the engine.
type Options struct {
	// Capacity is the maximum number of requests in the running batch.
	Capacity int
	// TokenTime is the time between two tokens of a request.
	TokenTime time.Duration
	// PrefillTime is the time to the first token.
	PrefillTime time.Duration
	// CachedPrefillTime is the time to the first token of a prompt whose prefix
	// is cached; 0 means PrefillTime.
	CachedPrefillTime time.Duration
	// CachePrefixes is the capacity of the prefix cache; 0 disables it.
	CachePrefixes int
	// CacheEventDelay is the time until a cache event becomes visible.
	// CacheEventLossRate is the fraction of cache events that are dropped.
	CacheEventDelay    time.Duration
	CacheEventLossRate float64
	// LoadLag is the minimum age of the load that a report shows.
	LoadLag time.Duration
	Crash   CrashOptions
}

// Run records one request that the engine ran.
type Run struct {
	Request string    `json:"request"`
	Attempt string    `json:"attempt"`
	Prompt  string    `json:"prompt"`
	Started time.Time `json:"started"`
	Tokens  int       `json:"tokens"`
	// Completed is false for a request that was cancelled, crashed the engine
	// or still runs.
	Completed bool `json:"ended"`
	// ReleasedAt is when the request left the batch, completed or cancelled.
	ReleasedAt time.Time `json:"left"`
	// Cached is true if the prompt's prefix was in the cache.
	Cached bool `json:"cached"`
}

// Engine is a stand-in of a model engine.
type Engine struct {
	opts        Options
	batch       *batch
	cache       *cache
	loadHistory *loadHistory
	crasher     crasher
	limit       standin.LimitNamer

	mu   sync.Mutex
	runs []*Run
}

// New returns an engine.
func New(opts Options) *Engine {
	if opts.CachedPrefillTime == 0 {
		opts.CachedPrefillTime = opts.PrefillTime
	}
	return &Engine{
		opts:        opts,
		batch:       newBatch(opts.Capacity),
		cache:       newCache(opts.CachePrefixes, opts.CacheEventDelay, opts.CacheEventLossRate),
		loadHistory: &loadHistory{lag: opts.LoadLag},
	}
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engineapi.PathCompletions, e.complete)
	mux.HandleFunc("POST "+engineapi.PathChat, e.complete)
	mux.HandleFunc("GET "+engineapi.PathLoad, e.showLoad)
	mux.HandleFunc("GET /admin/runs", e.showRuns)
	mux.HandleFunc("GET /admin/crashes", e.showCrashes)
	mux.HandleFunc("GET /cache/events", e.cache.showEvents)
	return e.limit.Handler(mux)
}

// Token returns the i-th token, counted from 0, of the completion of prompt.
func Token(prompt string, i int) string {
	h := xxhash.Sum64String(prompt + "#" + strconv.Itoa(i))
	return fmt.Sprintf("w%04x ", h&0xffff)
}

// Text returns the completion of prompt with the given number of tokens.
func Text(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var call engineapi.Call
	if err := standin.Decode(r, &call); err != nil {
		standin.Answer(w, nil, err)
		return
	}
	if call.MaxTokens == 0 {
		call.MaxTokens = DefaultMaxTokens
	}
	if !e.acquire(r) {
		return
	}
	run := e.startRun(r, call)
	defer e.release(run)
	if e.triggersCrash(run) {
		pause(r, e.prefillTime(run))
		e.crasher.crash()
		return
	}
	if call.Stream {
		e.streamTokens(w, r, call, run)
		return
	}
	e.respondComplete(w, r, call, run)
}

// acquire waits for a slot in the batch. It returns false if the caller
// disconnects first.
func (e *Engine) acquire(r *http.Request) bool {
	queued := e.batch.enqueue(priorityOf(r))
	e.loadHistory.record(e.currentLoad())
	defer func() { e.loadHistory.record(e.currentLoad()) }()
	return e.batch.wait(r, queued)
}

func (e *Engine) release(run *Run) {
	e.mu.Lock()
	run.ReleasedAt = time.Now()
	e.mu.Unlock()
	e.batch.releaseSlot()
	e.loadHistory.record(e.currentLoad())
}

// add adds delta to *n under the lock that guards the runs.
func (e *Engine) add(n *int, delta int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*n += delta
}

func (e *Engine) startRun(r *http.Request, call engineapi.Call) *Run {
	run := &Run{
		Request: r.Header.Get(engineapi.HeaderRequest),
		Attempt: r.Header.Get(engineapi.HeaderAttempt),
		Prompt:  call.PromptText(),
		Started: time.Now(),
	}
	run.Cached = e.cache.access(run.Prompt)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, run)
	return run
}

// pause waits for d. It returns false if the caller of r disconnects first.
func pause(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// generateToken waits for the time of one token and counts it in run. It
// returns false if the caller of r disconnects first.
func (e *Engine) generateToken(r *http.Request, run *Run, first bool) bool {
	d := e.opts.TokenTime
	if first {
		d = e.prefillTime(run)
	}
	if !pause(r, d) {
		return false
	}
	e.add(&run.Tokens, 1)
	return true
}

func (e *Engine) prefillTime(run *Run) time.Duration {
	if run.Cached {
		return e.opts.CachedPrefillTime
	}
	return e.opts.PrefillTime
}

// streamTokens sends the tokens as server-sent events, starting with the token at
// which the call resumes.
func (e *Engine) streamTokens(w http.ResponseWriter, r *http.Request, call engineapi.Call, run *Run) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	firstToken := call.Resume.Tokens
	for i := firstToken; i < call.MaxTokens; i++ {
		if !e.generateToken(r, run, i == firstToken) {
			return
		}
		data, _ := json.Marshal(engineapi.Answer{Choices: []engineapi.Choice{{Text: Token(run.Prompt, i)}}})
		fmt.Fprintf(w, "data: %s\n\n", data)
		_ = flush()
	}
	fmt.Fprint(w, engineapi.StreamEnd)
	_ = flush()
	e.markCompleted(run)
}

func (e *Engine) respondComplete(w http.ResponseWriter, r *http.Request, call engineapi.Call, run *Run) {
	for i := range call.MaxTokens {
		if !e.generateToken(r, run, i == 0) {
			return
		}
	}
	e.markCompleted(run)
	text := Text(run.Prompt, call.MaxTokens)
	standin.Answer(w, engineapi.Answer{Choices: []engineapi.Choice{{Text: text}}}, nil)
}

func (e *Engine) markCompleted(run *Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.Completed = true
}

// Runs returns a copy of all recorded runs.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Run, 0, len(e.runs))
	for _, r := range e.runs {
		out = append(out, *r)
	}
	return out
}

func (e *Engine) showRuns(w http.ResponseWriter, _ *http.Request) {
	standin.Answer(w, e.Runs(), nil)
}
