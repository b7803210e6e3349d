package rankagent

import (
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/ranks"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// An engine reports its present state to its own VM only. To other VMs it reports a state of
// some time ago, in which an order that it has answered may not have taken effect yet. A
// leader that reaches an engine directly therefore takes such a report for the state after
// an order only if two conditions hold:
//
//   - The reading began a report lag after the engine's answer to the order.
//   - The engine then accepted an order on condition that its sequence is that of the
//     report. This shows that no order has taken effect since, however old the report is:
//     the VM of the engine may have been suspended meanwhile.

const (
	// defaultReportLag is the age of a report to another VM if the configuration doesn't
	// state it.
	defaultReportLag = time.Second
	// reportInterval is added to the stated age: engines renew their reports periodically.
	reportInterval = 100 * time.Millisecond
	// maxConfirmReads is the number of readings after one order.
	maxConfirmReads = 3
)

// sendOrderDirectly sends an order to a rank's engine from this VM. The agent of the rank
// didn't answer and may have sent the order already: the second copy is then fenced or
// finds the rank in the requested state.
func (g *group) sendOrderDirectly(p *peer, o ranks.Order) *wire.RankState {
	if p.member.Name == g.a.Self.Name {
		return execute(g.ctx, p.engine, o, localOrderTimeout)
	}
	if o.Op == ranks.Prepare {
		return execute(g.ctx, p.engine, o, fallbackOrderTimeout)
	}
	verdict, _ := send(g.ctx, p.engine, o, fallbackOrderTimeout)
	answered := verdict == ranks.Accepted || verdict == ranks.Refused
	if o.Op != ranks.Arm && o.Op != ranks.Hold && answered && !settles(o, verdict) {
		return g.confirmStatus(p, o, verdict)
	}
	// A refused arm or hold ends the switch, whatever the rank's state.
	return &wire.RankState{Verdict: verdict}
}

// confirmStatus reads the status of a rank on another VM as of after an order that the
// engine has answered. Without a confirmed status the result's OK is not set.
func (g *group) confirmStatus(p *peer, o ranks.Order, verdict ranks.Verdict) *wire.RankState {
	reply := &wire.RankState{Verdict: verdict}
	lag := g.a.reportLag() + reportInterval
	start := g.a.Clock.Now()
	for range maxConfirmReads {
		if g.a.sleep(g.ctx, lag); g.ctx.Err() != nil {
			return reply
		}
		st, err := p.engine.CurrentStatus(g.ctx)
		if err != nil {
			g.a.Log.Info("failed to read a rank's status after an order", zap.String("rank_of", p.member.Name), zap.String("order", string(o.Op)), zap.Int64("fence", o.Fence), zap.Error(err))
			return reply
		}
		outcome := ranks.Unknown
		if st.Epoch > o.Epoch {
			reply.Status, reply.OK = st, true // the order has no effect in this epoch
		} else {
			outcome = g.compareSequence(p, o, st)
			reply.Status, reply.OK = st, outcome == ranks.Accepted
		}
		g.a.Log.Info("status of a rank whose agent doesn't answer", zap.String("rank_of", p.member.Name), zap.String("order", string(o.Op)), zap.Int64("fence", o.Fence),
			zap.Bool("confirmed", reply.OK), zap.Stringer("same_sequence", outcome), zap.Int64("sequence", st.Sequence), zap.Int64("epoch", st.Epoch), zap.Int64("armed", st.Armed),
			zap.Int64("held", st.Held), zap.Int64("at_step", st.Step), zap.Duration("lag", lag), zap.Duration("took", g.a.Clock.Since(start)))
		if outcome == ranks.Fenced {
			reply.Verdict = ranks.Fenced
		}
		if reply.OK || outcome == ranks.Fenced {
			return reply
		}
	}
	return reply
}

// compareSequence sends an order that changes nothing and that the engine refuses if an
// order has taken effect since a reading. It uses the last fence that is reserved for o.
func (g *group) compareSequence(p *peer, o ranks.Order, st ranks.Status) ranks.Verdict {
	fence := o.Fence + ranks.MaxSends - 1
	verdict, err := p.engine.Order(g.ctx, ranks.Order{Op: ranks.Disarm, Version: fence, Epoch: o.Epoch, Fence: fence, ExpectSequence: &st.Sequence}, fallbackOrderTimeout)
	if err != nil {
		g.a.Log.Info("a rank's status was not confirmed", zap.String("rank_of", p.member.Name), zap.Int64("sequence", st.Sequence), zap.Error(err))
	}
	return verdict
}

// reportLag returns the age of the status that an engine reports to other VMs.
func (a *Agent) reportLag() time.Duration {
	if e := a.engineSettings(); e != nil && e.ReportLag > 0 {
		return e.ReportLag
	}
	return defaultReportLag
}
