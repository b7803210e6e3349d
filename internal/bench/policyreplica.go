package bench

import (
	"container/list"
	"slices"
	"time"
)

// replicaOptions set a fake upstream's behaviour.
type replicaOptions struct {
	capacity        int
	prefill, cached time.Duration
	// gap is the time between two tokens in an idle batch; a full one takes
	// half as long again.
	gap      time.Duration
	prefixes int
	// slow multiplies every time.
	slow float64
}

// job is a request at a replica.
type job struct {
	priority int
	prefix   int
	tokens   int
	// first is called at the first token, ended at the last one with the gap
	// between tokens.
	first func(cached bool)
	ended func(gap time.Duration)
	over  bool
}

// replica is a fake upstream: a batch with a queue by priority and a bounded
// cache of prefixes.
type replica struct {
	loop    *loop
	opts    replicaOptions
	ranks   []*replica // of its lock-step group, itself included
	running int
	waiting []*job
	byKey   map[int]*list.Element
	used    *list.List
}

func newReplica(l *loop, opts replicaOptions) *replica {
	r := &replica{loop: l, opts: opts, byKey: map[int]*list.Element{}, used: list.New()}
	r.ranks = []*replica{r}
	return r
}

func (r *replica) work() int { return r.running + len(r.waiting) }

// submit queues a job.
func (r *replica) submit(j *job) {
	at := slices.IndexFunc(r.waiting, func(o *job) bool { return o.priority < j.priority })
	if at < 0 {
		at = len(r.waiting)
	}
	r.waiting = slices.Insert(r.waiting, at, j)
	r.fill()
}

// cancel ends a job whose caller left.
func (r *replica) cancel(j *job) {
	if j.over {
		return
	}
	j.over = true
	if at := slices.Index(r.waiting, j); at >= 0 {
		r.waiting = slices.Delete(r.waiting, at, at+1)
		return
	}
	r.running--
	r.fill()
}

func (r *replica) fill() {
	for r.running < r.opts.capacity && len(r.waiting) > 0 {
		j := r.waiting[0]
		r.waiting = r.waiting[1:]
		r.running++
		r.run(j)
	}
}

func (r *replica) run(j *job) {
	cached := r.use(j.prefix)
	prefill := r.opts.prefill
	if cached {
		prefill = r.opts.cached
	}
	r.loop.after(r.slowed(prefill), func() {
		if j.over {
			return
		}
		j.first(cached)
		gap := r.step()
		r.loop.after(gap*time.Duration(j.tokens-1), func() {
			if j.over {
				return
			}
			j.over = true
			r.running--
			r.fill()
			j.ended(gap)
		})
	})
}

func (r *replica) slowed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * r.opts.slow)
}

// step returns the time of a step, which the slowest rank of the group sets.
func (r *replica) step() time.Duration {
	var slowest time.Duration
	for _, o := range r.ranks {
		slowest = max(slowest, o.ownStep())
	}
	return slowest
}

// ownStep returns the time that this rank alone needs for a step.
func (r *replica) ownStep() time.Duration {
	fill := float64(r.running) / float64(r.opts.capacity)
	return r.slowed(time.Duration(float64(r.opts.gap) * (1 + fill/2)))
}

// use looks a prefix up in the cache and keeps it.
func (r *replica) use(prefix int) bool {
	if e := r.byKey[prefix]; e != nil {
		r.used.MoveToFront(e)
		return true
	}
	r.byKey[prefix] = r.used.PushFront(prefix)
	if r.used.Len() > r.opts.prefixes {
		delete(r.byKey, r.used.Remove(r.used.Back()).(int))
	}
	return false
}
