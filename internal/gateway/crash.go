package gateway

import (
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/quarantine"
	"github.com/kingcupreel/kingcupreel/internal/upstream"
)

// crashCheckTimeout bounds the check whether an upstream still listens. A host that is
// there answers within a round trip.
const crashCheckTimeout = 200 * time.Millisecond

// crashedBeforeAnswer reports whether the upstream ended with the request before the first
// part of its answer: the connection ended, and nothing listens at the address any more.
func (q *request) crashedBeforeAnswer(m *Member, res result) bool {
	if q.answerStarted || !res.sent || !connectionEnded(res.cause) {
		return false
	}
	ctx, cancel := context.WithTimeout(q.ctx, crashCheckTimeout)
	defer cancel()
	crashed := q.g.Transport.Refuses(ctx, m.Address)
	q.log.Info("connection ended before the answer began", zap.String("upstream", m.ID), zap.Bool("crashed", crashed), zap.Bool("head_received", q.headReceived),
		zap.String("account", q.account), zap.Strings("parts", q.PromptParts), zap.Any("fingerprints", q.suspect().Parts), zap.Error(res.cause))
	return crashed
}

// reportCrashDuringAnswer counts a crash of the upstream after the answer began against the
// request. The upstream is checked concurrently, since the stream may go on elsewhere.
// Requests beside the one that crashes an upstream are in flight there too, but one that
// isn't to blame gets a whole answer sooner or later.
func (q *request) reportCrashDuringAnswer(m *Member, res result) {
	var fromUpstream *upstream.Error
	if !q.answerStarted || !connectionEnded(res.cause) || !errors.As(res.cause, &fromUpstream) && !errors.Is(res.cause, errEndsTooSoon) && !errors.Is(res.cause, errUnconfirmedEnd) {
		return
	}
	s := q.unfinished()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		defer cancel()
		if !q.g.Transport.Refuses(ctx, m.Address) {
			return
		}
		q.log.Info("upstream crashed during the answer", zap.String("upstream", m.ID), zap.Any("fingerprints", s.Parts), zap.Error(res.cause))
		q.g.shareReport(q.crashReport(m, s))
	}()
}

// connectionEnded reports whether an answer broke off since the upstream closed or reset its
// connection.
func connectionEnded(err error) bool {
	return errors.Is(err, errEndsTooSoon) || errors.Is(err, errUnconfirmedEnd) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// suspect returns the quarantine's identification of the request. Its whole content counts as
// a part: requests with equal contents may be in flight at several upstreams, which crash at
// one moment for another reason, and a success of any of them clears it.
func (q *request) suspect() quarantine.Suspect {
	q.suspectOnce.Do(func() {
		whole := quarantine.FingerprintOf(q.account, q.r.RequestURI, q.body)
		parts := append(quarantine.PartFingerprints(q.PromptParts), whole)
		parts = append(parts, quarantine.ContentFingerprints(q.account, q.r.RequestURI, q.body)...)
		parts = append(parts, quarantine.UnfinishedFingerprint(q.account, q.r.RequestURI, q.body, q.PromptParts))
		q.suspectValue = quarantine.Suspect{Account: q.account, Parts: parts, Whole: whole}
	})
	return q.suspectValue
}

// begun returns what of the suspect the beginning of an answer clears, and unfinished the
// rest, which only a whole answer clears.
func (q *request) begun() quarantine.Suspect {
	s := q.suspect()
	s.Parts = s.Parts[:len(s.Parts)-1]
	return s
}

func (q *request) unfinished() quarantine.Suspect {
	s := q.suspect()
	return quarantine.Suspect{Account: s.Account, Parts: s.Parts[len(s.Parts)-1:]}
}

// checkQuarantine returns an error for a request that crashes upstreams.
func (q *request) checkQuarantine() error {
	if q.g.Quarantine.Empty() {
		return nil
	}
	return q.g.Quarantine.Check(q.suspect())
}

// reportCrash records that an upstream crashed with the request, and tells other entries.
func (q *request) reportCrash(m *Member) {
	s := q.suspect()
	// A rank's crash stops its group. The rank had begun with a request if the head of an
	// answer came; others may only have waited there.
	s.Hold = q.headReceived && q.isRankGroup()
	r := q.crashReport(m, s)
	if s.Hold {
		q.log.Info("request is held", zap.Any("fingerprints", r.Held()), zap.Time("until", r.HeldUntil()), zap.String("upstream", m.ID),
			zap.String("reason", "its answer had begun when the rank of a group crashed"))
	}
	q.g.shareReport(r)
}

// crashReport returns the report of an upstream's crash.
func (q *request) crashReport(m *Member, s quarantine.Suspect) quarantine.Report {
	return quarantine.Report{
		ID: uuid.NewString(), Upstream: m.ID, Crash: m.ID + "/" + strconv.FormatInt(m.Started, 10),
		AtMS: q.g.Clock.Now().UnixMilli(), Suspects: []quarantine.Suspect{s},
	}
}

// clearSuspicion records that the request has succeeded as far as s says, if an upstream had
// crashed with it or with a part of it.
func (q *request) clearSuspicion(suspect func() quarantine.Suspect) {
	if q.g.Quarantine.Empty() {
		return
	}
	s := suspect()
	if crashed := q.g.Quarantine.CrashedWith(s); len(crashed) > 0 {
		q.log.Info("request in flight at crashes has succeeded", zap.Strings("crashed", crashed), zap.Strings("parts", q.PromptParts))
		acquitted := q.g.Quarantine.QuarantinedParts(s)
		q.g.shareReport(quarantine.Report{ID: uuid.NewString(), AtMS: q.g.Clock.Now().UnixMilli(), Suspects: []quarantine.Suspect{s}, Cleared: true})
		if q.g.OnAcquittal != nil && len(acquitted) > 0 {
			q.g.OnAcquittal(acquitted)
		}
	}
}

// EnforceQuarantine ends the attempts of requests that have just been put into quarantine:
// an upstream that has not begun with such a request doesn't crash then. It returns what
// was convicted.
func (g *Gateway) EnforceQuarantine() []quarantine.Fingerprint {
	convicted := g.Quarantine.TakeConvicted()
	if len(convicted) == 0 {
		return nil
	}
	g.Log.Info("put into quarantine", zap.Any("fingerprints", convicted))
	for _, r := range g.inProgress() {
		if err := r.checkQuarantine(); err != nil {
			r.endAttemptWith(err)
		}
	}
	return convicted
}

// shareReport adds a report to the quarantine and passes it on to other entries.
func (g *Gateway) shareReport(r quarantine.Report) {
	g.Quarantine.Add(r)
	convicted := g.EnforceQuarantine()
	if g.OnCrashReport != nil {
		g.OnCrashReport(r)
	}
	quarantined := slices.Compact(slices.Sorted(slices.Values(append(convicted, r.Held()...))))
	if g.OnQuarantine != nil && len(quarantined) > 0 {
		g.OnQuarantine(quarantined)
	}
}
