// Package engine is a stand-in of a model engine: the usual completions
// interface with server-sent events, continuous batching with a capacity, and
// a record of every run. Its answer is a function of the prompt alone, so that
// a checker can tell a wrong answer.
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

// DefaultMaxTokens is the answer's length when the call sets no max_tokens.
const DefaultMaxTokens = 16

// Options set the engine's behaviour.
type Options struct {
	// Capacity is the number of requests in the running batch.
	Capacity int
	// TokenTime is the time between two tokens of a request.
	TokenTime time.Duration
	// PrefillTime is the time to the first token.
	PrefillTime time.Duration
	// CachedPrefillTime is that time for a prompt whose prefix is cached; 0
	// means PrefillTime.
	CachedPrefillTime time.Duration
	// CachePrefixes is the number of prefixes that the cache holds; 0 means
	// no cache.
	CachePrefixes int
	// CacheEventDelay delays each cache event; CacheEventLossRate is the fraction
	// of events that are never delivered.
	CacheEventDelay    time.Duration
	CacheEventLossRate float64
	// LoadLag is how old a load report is.
	LoadLag time.Duration
	Crash   CrashOptions
}

// Run is the record of one request that the engine ran.
type Run struct {
	Request   string    `json:"request"`
	Attempt   string    `json:"attempt"`
	Prompt    string    `json:"prompt"`
	Started   time.Time `json:"started"`
	Tokens    int       `json:"tokens"`
	Completed bool      `json:"ended"`
	// ReleasedAt is when the request left the batch, ended or not.
	ReleasedAt time.Time `json:"left"`
	// Cached says that the prompt's prefix was in the cache.
	Cached bool `json:"cached"`
}

// Engine is the stand-in.
type Engine struct {
	opts    Options
	batch   *batch
	cache   *cache
	lagged  *lagged
	crasher crasher

	mu   sync.Mutex
	runs []*Run
}

// New returns an engine.
func New(opts Options) *Engine {
	if opts.CachedPrefillTime == 0 {
		opts.CachedPrefillTime = opts.PrefillTime
	}
	return &Engine{
		opts:   opts,
		batch:  newBatch(opts.Capacity),
		cache:  newCache(opts.CachePrefixes, opts.CacheEventDelay, opts.CacheEventLossRate),
		lagged: &lagged{lag: opts.LoadLag},
	}
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engineapi.PathCompletions, e.complete)
	mux.HandleFunc("POST "+engineapi.PathChat, e.complete)
	mux.HandleFunc("GET "+engineapi.PathLoad, e.load)
	mux.HandleFunc("GET /admin/runs", e.showRuns)
	mux.HandleFunc("GET /admin/crashes", e.showCrashes)
	mux.HandleFunc("GET /cache/events", e.cache.show)
	return mux
}

// Token returns the i-th token of a prompt's answer, counted from 0.
func Token(prompt string, i int) string {
	h := xxhash.Sum64String(prompt + "#" + strconv.Itoa(i))
	return fmt.Sprintf("w%04x ", h&0xffff)
}

// Text returns the whole answer to a prompt.
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
	run := e.start(r, call)
	defer e.release(run)
	if e.poisoned(run) {
		pause(r, e.prefill(run))
		e.crasher.crash()
		return
	}
	if call.Stream {
		e.stream(w, r, call, run)
		return
	}
	e.whole(w, r, call, run)
}

// acquire waits for a place in the batch; false means that the caller left.
func (e *Engine) acquire(r *http.Request) bool {
	p := e.batch.join(priorityOf(r))
	e.lagged.keep(e.present())
	defer func() { e.lagged.keep(e.present()) }()
	return e.batch.wait(r, p)
}

func (e *Engine) release(run *Run) {
	e.mu.Lock()
	run.ReleasedAt = time.Now()
	e.mu.Unlock()
	e.batch.leave()
	e.lagged.keep(e.present())
}

func (e *Engine) count(n *int, d int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*n += d
}

func (e *Engine) start(r *http.Request, call engineapi.Call) *Run {
	run := &Run{
		Request: r.Header.Get(engineapi.HeaderRequest),
		Attempt: r.Header.Get(engineapi.HeaderAttempt),
		Prompt:  call.PromptText(),
		Started: time.Now(),
	}
	run.Cached = e.cache.use(run.Prompt)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, run)
	return run
}

// pause waits for a token's time; false means that the caller left.
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

// step waits for token i and records it.
func (e *Engine) step(r *http.Request, run *Run, first bool) bool {
	d := e.opts.TokenTime
	if first {
		d = e.prefill(run)
	}
	if !pause(r, d) {
		return false
	}
	e.count(&run.Tokens, 1)
	return true
}

func (e *Engine) prefill(run *Run) time.Duration {
	if run.Cached {
		return e.opts.CachedPrefillTime
	}
	return e.opts.PrefillTime
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, call engineapi.Call, run *Run) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	from := call.Resume.Tokens
	for i := from; i < call.MaxTokens; i++ {
		if !e.step(r, run, i == from) {
			return
		}
		data, _ := json.Marshal(engineapi.Answer{Choices: []engineapi.Choice{{Text: Token(run.Prompt, i)}}})
		fmt.Fprintf(w, "data: %s\n\n", data)
		_ = flush()
	}
	fmt.Fprint(w, engineapi.StreamEnd)
	_ = flush()
	e.end(run)
}

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, call engineapi.Call, run *Run) {
	for i := range call.MaxTokens {
		if !e.step(r, run, i == 0) {
			return
		}
	}
	e.end(run)
	text := Text(run.Prompt, call.MaxTokens)
	standin.Answer(w, engineapi.Answer{Choices: []engineapi.Choice{{Text: text}}}, nil)
}

func (e *Engine) end(run *Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.Completed = true
}

// Runs returns the record of runs.
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
