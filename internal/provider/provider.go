// Package provider brings the configuration from the key-value service into
// the store.
package provider

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/platform"
)

const (
	// watchWait bounds a waiting watch, so that a silent connection is noticed.
	watchWait  = 10 * time.Second
	retryDelay = 200 * time.Millisecond
)

// Watcher follows the configuration in the key-value service.
type Watcher struct {
	KV    platform.KV
	Store *config.Store
	Log   *zap.Logger

	down bool
}

// Run follows the service until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := w.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		w.stateChanged(err)
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay/2 + rand.N(retryDelay)):
		}
	}
}

// stateChanged logs when the service goes out of reach or comes back.
func (w *Watcher) stateChanged(err error) {
	down := err != nil && fault.KindOf(err) != fault.Stale
	if down == w.down {
		return
	}
	w.down = down
	if down {
		w.Log.Warn("key-value service out of reach", zap.Error(err))
		return
	}
	w.Log.Info("key-value service back")
}

// follow lists the configuration and applies changes as they come.
func (w *Watcher) follow(ctx context.Context) error {
	revision, err := w.list(ctx)
	if err != nil {
		return err
	}
	w.stateChanged(nil)
	for {
		batch, err := w.KV.Watch(ctx, config.Prefix, revision, watchWait)
		if err != nil {
			return err
		}
		if len(batch.Events) == 0 {
			revision = max(revision, batch.Revision)
			continue
		}
		if revision, err = w.list(ctx); err != nil {
			return err
		}
	}
}

func (w *Watcher) list(ctx context.Context) (int64, error) {
	l, err := w.KV.List(ctx, config.Prefix)
	if err != nil {
		return 0, err
	}
	records := make([]config.Record, 0, len(l.Items))
	for _, i := range l.Items {
		records = append(records, config.Record{Key: i.Key, Value: i.Value, Revision: i.ModRevision})
	}
	w.Store.Apply(l.Revision, records)
	return l.Revision, nil
}
