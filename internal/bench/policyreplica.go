package bench

import (
	"container/list"
	"slices"
	"time"
)

// replicaOptions configure a simulated upstream.
type replicaOptions struct {
	// capacity is the number of jobs that run at once.
	capacity int
	// prefill is the time until the first token, cached the same for a job whose
	// prefix is cached.
	prefill, cached time.Duration
	// tokenGap is the time between two tokens when the batch is empty; a full
	// batch takes 1.5 times as long.
	tokenGap time.Duration
	// maxPrefixes is the number of prefixes that the cache holds.
	maxPrefixes int
	// slowdown is a factor on all times; 1 means normal speed.
	slowdown float64
}

// job is a request running or waiting at a replica.
type job struct {
	priority int
	prefix   int
	tokens   int
	// onFirstToken is called at the first token, onCompletion at the last one; gap
	// is the time between two tokens.
	onFirstToken func(cached bool)
	onCompletion func(gap time.Duration)
	// done is true once the job has completed or was cancelled.
	done bool
}

// replica is a simulated upstream: a batch, a queue ordered by priority and a
// bounded LRU cache of prefixes.
type replica struct {
	eventLoop      *eventLoop
	opts           replicaOptions
	ranks          []*replica // the lock-step group, which includes the replica itself
	running        int
	waiting        []*job
	prefixElements map[int]*list.Element
	prefixLRU      *list.List
}

func newReplica(l *eventLoop, opts replicaOptions) *replica {
	r := &replica{eventLoop: l, opts: opts, prefixElements: map[int]*list.Element{}, prefixLRU: list.New()}
	r.ranks = []*replica{r}
	return r
}

// work returns the number of jobs that run or wait.
func (r *replica) work() int { return r.running + len(r.waiting) }

// submit queues a job behind those of the same or a higher priority.
func (r *replica) submit(j *job) {
	at := slices.IndexFunc(r.waiting, func(o *job) bool { return o.priority < j.priority })
	if at < 0 {
		at = len(r.waiting)
	}
	r.waiting = slices.Insert(r.waiting, at, j)
	r.startWaiting()
}

// cancel removes a job whose caller no longer waits for it.
func (r *replica) cancel(j *job) {
	if j.done {
		return
	}
	j.done = true
	if at := slices.Index(r.waiting, j); at >= 0 {
		r.waiting = slices.Delete(r.waiting, at, at+1)
		return
	}
	r.running--
	r.startWaiting()
}

// startWaiting starts waiting jobs while the batch has room.
func (r *replica) startWaiting() {
	for r.running < r.opts.capacity && len(r.waiting) > 0 {
		j := r.waiting[0]
		r.waiting = r.waiting[1:]
		r.running++
		r.start(j)
	}
}

// start runs a job: prefill, then its tokens at the group's step time as of the
// first token.
func (r *replica) start(j *job) {
	cached := r.touchPrefix(j.prefix)
	prefill := r.opts.prefill
	if cached {
		prefill = r.opts.cached
	}
	r.eventLoop.after(r.scaleTime(prefill), func() {
		if j.done {
			return
		}
		j.onFirstToken(cached)
		gap := r.groupStepTime()
		r.eventLoop.after(gap*time.Duration(j.tokens-1), func() {
			if j.done {
				return
			}
			j.done = true
			r.running--
			r.startWaiting()
			j.onCompletion(gap)
		})
	})
}

// scaleTime applies the replica's slowdown to d.
func (r *replica) scaleTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) * r.opts.slowdown)
}

// groupStepTime returns the time of a lock-step group's step: that of its slowest
// rank.
func (r *replica) groupStepTime() time.Duration {
	var slowest time.Duration
	for _, o := range r.ranks {
		slowest = max(slowest, o.stepTime())
	}
	return slowest
}

// stepTime returns the time that this rank alone needs for a step.
func (r *replica) stepTime() time.Duration {
	batchFill := float64(r.running) / float64(r.opts.capacity)
	return r.scaleTime(time.Duration(float64(r.opts.tokenGap) * (1 + batchFill/2)))
}

// touchPrefix reports whether the prefix is cached and makes it the most recently
// used one, evicting the least recently used one if the cache is full.
func (r *replica) touchPrefix(prefix int) bool {
	if e := r.prefixElements[prefix]; e != nil {
		r.prefixLRU.MoveToFront(e)
		return true
	}
	r.prefixElements[prefix] = r.prefixLRU.PushFront(prefix)
	if r.prefixLRU.Len() > r.opts.maxPrefixes {
		delete(r.prefixElements, r.prefixLRU.Remove(r.prefixLRU.Back()).(int))
	}
	return false
}
