package standin

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/engineapi"
)

// PathLimit is the path to which a stand-in's limit is posted, as a Limit.
const PathLimit = "/admin/limit"

// Limit is the limit on the rate of requests that a stand-in names, in requests a second; 0
// means none.
type Limit struct {
	Rate float64 `json:"rate"`
}

// LimitNamer names a limit in a stand-in's answers. Its zero value names none.
type LimitNamer struct {
	mu    sync.Mutex
	limit Limit
}

// Handler returns a handler that names the limit in the answers of next, and sets it by a
// POST to PathLimit.
func (n *LimitNamer) Handler(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathLimit, func(w http.ResponseWriter, r *http.Request) {
		var limit Limit
		err := Decode(r, &limit)
		if err == nil {
			n.mu.Lock()
			n.limit = limit
			n.mu.Unlock()
		}
		Answer(w, limit, err)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		n.mu.Lock()
		rate := n.limit.Rate
		n.mu.Unlock()
		if rate > 0 {
			w.Header().Set(engineapi.HeaderRequestLimit, strconv.FormatFloat(rate, 'g', -1, 64))
		}
		next.ServeHTTP(w, r)
	})
	return mux
}

// limitWindow is the time over which the requests to a limited upstream are counted. In each
// such window it gets at most limitFactor times its limit and limitExtra requests more.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
)

// MostInLimitWindow returns the largest number of the moments that fall into one window, and
// how many a limit allows there.
func MostInLimitWindow(moments []time.Time, limit float64) (most int, allowed float64) {
	moments = slices.SortedFunc(slices.Values(moments), time.Time.Compare)
	first := 0
	for i, at := range moments {
		for at.Sub(moments[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, limitFactor*limit*limitWindow.Seconds() + limitExtra
}
