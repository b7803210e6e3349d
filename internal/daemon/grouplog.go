package daemon

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// groupLogDelay is the time over which the reports of a group's ranks are counted into one
// line. All agents of a group see it start or stop within a few readings.
const groupLogDelay = 500 * time.Millisecond

// groupLog logs the groups that start or stop serving: one line a group and event, however
// many ranks report it. It is safe for concurrent use.
type groupLog struct {
	clock clockwork.Clock
	log   *zap.Logger

	mu      sync.Mutex // leaf
	pending map[string]*groupReports
}

// groupReports counts the reports of a group's ranks since the first one.
type groupReports struct {
	first            time.Time
	started, stopped int
	// step is the highest step that was reported; queued and active are sums over the
	// reports.
	step           int64
	queued, active int
}

func newGroupLog(clock clockwork.Clock, log *zap.Logger) *groupLog {
	return &groupLog{clock: clock, log: log, pending: map[string]*groupReports{}}
}

// add counts a report that changes whether the rank's group serves.
func (l *groupLog) add(m *wire.RankLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.pending[m.Group]
	if r == nil {
		r = &groupReports{first: l.clock.Now()}
		l.pending[m.Group] = r
		l.clock.AfterFunc(groupLogDelay, func() { l.flush(m.Group) })
	}
	if m.GroupServing {
		r.started++
	} else {
		r.stopped++
	}
	r.step, r.queued, r.active = max(r.step, m.Step), r.queued+m.Queued, r.active+m.Active
}

// flush writes the line of a group.
func (l *groupLog) flush(group string) {
	l.mu.Lock()
	r := l.pending[group]
	delete(l.pending, group)
	l.mu.Unlock()
	l.log.Info("group started or stopped serving", zap.String("group", group), zap.Int("ranks_started", r.started), zap.Int("ranks_stopped", r.stopped),
		zap.Duration("over", l.clock.Since(r.first)), zap.Int64("step", r.step), zap.Int("queued", r.queued), zap.Int("active", r.active))
}
