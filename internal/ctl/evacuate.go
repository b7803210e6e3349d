package ctl

import (
	"context"

	"github.com/kingcupreel/kingcupreel/internal/config"
	v2 "github.com/kingcupreel/kingcupreel/internal/config/v2"
	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// evacuate writes the record that evacuates a data centre, if there is none.
func (t *tool) evacuate(ctx context.Context) error {
	e := &config.Evacuation{Name: t.name}
	if err := e.Validate(); err != nil {
		return err
	}
	record, err := v2.Encode(e)
	if err != nil {
		return err
	}
	return t.changeEvacuation(ctx, e.Key(), func(stored int64) (revision int64, err error) {
		if stored != 0 {
			return 0, nil
		}
		written, err := t.client.Put(ctx, e.Key(), record, stored)
		return written.Revision, err
	})
}

// restore removes the record that evacuates a data centre, if there is one.
func (t *tool) restore(ctx context.Context) error {
	key := config.Key{Kind: config.KindEvacuation, Name: t.name}
	return t.changeEvacuation(ctx, key, func(stored int64) (revision int64, err error) {
		if stored == 0 {
			return 0, t.checkDataCentre(ctx)
		}
		removed, err := t.client.Delete(ctx, key, stored)
		return removed.Revision, err
	})
}

// changeEvacuation calls change with the revision of the stored record, 0 for none, and prints
// the result. change returns the configuration's revision, 0 if nothing is to be changed.
func (t *tool) changeEvacuation(ctx context.Context, key config.Key, change func(stored int64) (revision int64, err error)) error {
	stored, err := t.readStored(ctx, key)
	if err != nil {
		return err
	}
	revision, err := change(stored.Revision)
	if fault.KindOf(err) == fault.Conflict {
		return fault.New(fault.Conflict, "look at kingcupreelctl get evacuation, and repeat the command if need be", "another operator changed the evacuation of %q meanwhile", key.Name)
	}
	if err != nil {
		return err
	}
	results := []writeResult{{Kind: key.Kind, Name: key.Name, Revision: revision, Changed: revision != 0}}
	if err := t.printResults(results); err != nil {
		return err
	}
	return t.waitInForce(ctx, results)
}

// checkDataCentre returns an error if no upstream's record names the data centre.
func (t *tool) checkDataCentre(ctx context.Context) error {
	list, err := t.client.Config(ctx)
	if err != nil {
		return err
	}
	for _, r := range list.Records {
		if u, ok := decodeRecord(r).(*config.Upstream); ok && u.DataCentre == t.name {
			return nil
		}
	}
	return fault.New(fault.Invalid, "name a data centre of the upstreams' records; kingcupreelctl status shows them", "no upstream is in data centre %q", t.name)
}
