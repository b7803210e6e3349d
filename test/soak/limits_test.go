package soak

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/standin"
)

const (
	// limitStableTime is the time from which on a named limit has to be kept to, and
	// limitToldTime the time after which a process that has passed on an answer that names it
	// is counted.
	limitStableTime = 3 * time.Second
	limitToldTime   = 500 * time.Millisecond
	// A limit is named for limitTimeFactor times the duration of a fault, but at least
	// minLimitTime: shorter ones show nothing.
	limitTimeFactor = 3
	minLimitTime    = 6 * time.Second
)

// spell is the time for which an upstream names one limit.
type spell struct {
	rate  float64
	since time.Time
	// told holds when each process first passed on an answer that names the limit.
	told map[*process]time.Time
	// arrivals are the requests from processes that are counted.
	arrivals []time.Time
}

// limits tracks the limits that upstreams name and the requests that they get meanwhile.
type limits struct {
	mu sync.Mutex
	// sent says to which process each request was sent.
	sent   map[string]*process
	spells []*spell
}

func newLimits() *limits { return &limits{sent: map[string]*process{}} }

func (l *limits) send(id string, p *process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = p
}

// nameLimit makes the upstream name a limit for a while, if it names none.
func (u *upstream) nameLimit(d time.Duration) {
	u.mu.Lock()
	rate := 1 + 4*u.rand.Float64()
	u.mu.Unlock()
	l := u.d.limits
	l.mu.Lock()
	if u.limit != nil {
		l.mu.Unlock()
		return
	}
	u.limit = &spell{rate: rate, since: time.Now(), told: map[*process]time.Time{}}
	l.spells = append(l.spells, u.limit)
	l.mu.Unlock()
	time.Sleep(max(limitTimeFactor*d, minLimitTime))
	l.mu.Lock()
	defer l.mu.Unlock()
	u.limit = nil
}

// arrive names the upstream's limit in an answer and counts the request. The returned function
// is called when the answer has ended.
func (l *limits) arrive(u *upstream, w http.ResponseWriter, id string) (answered func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, p := u.limit, l.sent[id]
	if s == nil || p == nil {
		return func() {}
	}
	w.Header().Set("Server-Limit", strconv.FormatFloat(s.rate, 'f', 2, 64))
	now := time.Now()
	at, told := s.told[p]
	if told && now.Sub(at) > limitToldTime && now.Sub(s.since) > limitStableTime && p.inTouch() {
		s.arrivals = append(s.arrivals, now)
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if _, told := s.told[p]; !told {
			s.told[p] = time.Now()
		}
	}
}

func (l *limits) check(r *recorder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.spells {
		if most, allowed := standin.MostInLimitWindow(s.arrivals, s.rate); float64(most) > allowed {
			r.recordViolation("an upstream that had named a limit of %.2f a second got %d requests in a window, allowed %.1f", s.rate, most, allowed)
		}
	}
}
