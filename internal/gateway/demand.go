package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/dispatch"
	"github.com/kingcupreel/kingcupreel/internal/routing"
)

// accepted reports whether an upstream may have run the request before. Its caller has waited
// for it, and may have a part of its answer.
func (q *request) accepted() bool { return q.headSent || q.mayHaveRun }

// usualDelay returns the usual time from the sending of such a request to the first part of its
// answer, or to the whole answer if it isn't a stream; 0 if it isn't known.
func (q *request) usualDelay() time.Duration {
	times := q.g.Pools.times(q.service)
	if q.route.Kind == routing.Stream {
		return times.firstPart
	}
	return times.wholeAnswer
}

// withdrawnDelayFactor times the usual delay of an answer is the delay that a withdrawn request
// allows for. It won't get another chance.
const withdrawnDelayFactor = 1.5

// demand returns what the request asks of its next upstream: that it begins early enough to be
// answered while its caller waits.
func (q *request) demand() dispatch.Demand {
	d := dispatch.Demand{Exclude: q.attempted, Accepted: q.accepted(), Withdrawn: q.withdrawn, TargetGap: q.route.TargetGap}
	wait, usual := q.waitLimit(), q.usualDelay()
	d.Urgent = isUrgent(q.headSent, q.route.TargetLatency, time.Since(q.startedAt), usual)
	switch {
	case q.withdrawn:
		wait, usual = q.patienceLeft(), time.Duration(withdrawnDelayFactor*float64(usual))
	case d.Accepted:
		wait = q.patienceLeft()
	}
	d.BeginBy = q.g.Clock.Now().Add(wait - usual)
	return d
}

// coldDelayFactor times the usual delay of an answer is the delay that a cold upstream may
// cause.
const coldDelayFactor = 3

// isUrgent reports whether the caller of a request would notice a slow first answer: its
// target latency can be kept, but not at several times the usual delay, or its stream has begun.
func isUrgent(streaming bool, target, waited, usual time.Duration) bool {
	if streaming {
		return true
	}
	left := target - waited
	return left > usual && left < coldDelayFactor*usual
}

// pick chooses an upstream for the next attempt, or returns nil. A request to
// a group that can't serve waits for the group first.
func (q *request) pick() *Member {
	d := q.demand()
	if q.mustQueue() {
		return q.awaitTurn(q.bearable().WaitLimit, d)
	}
	m, obstacle := q.g.Pools.Pick(q.service, d)
	if m != nil {
		return m
	}
	q.log.Info("no upstream can take the request", zap.String("obstacle", obstacle.String()), zap.Duration("begin_within", d.BeginBy.Sub(q.g.Clock.Now())), zap.Duration("usual_delay", q.usualDelay()),
		zap.Duration("service_time", q.g.Pools.times(q.service).service), zap.Bool("accepted", d.Accepted), zap.Bool("withdrawn", d.Withdrawn), zap.Strings("tried", q.attempted))
	if obstacle > dispatch.Unheard || obstacle == dispatch.Evacuated || !q.isRankGroup() {
		return nil
	}
	return q.awaitGroup(d)
}
