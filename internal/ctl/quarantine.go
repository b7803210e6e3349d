package ctl

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/opapi"
	"github.com/kingcupreel/kingcupreel/internal/quarantine"
)

// Quarantine returns the requests that were in flight when engines crashed, as
// far as the entry knows them.
func (c *Client) Quarantine(ctx context.Context) ([]quarantine.Record, error) {
	var records []quarantine.Record
	return records, c.do(ctx, http.MethodGet, opapi.PathQuarantine, nil, &records)
}

// quarantine prints the suspected and convicted requests and parts of prompts.
func (t *tool) quarantine(ctx context.Context) error {
	records, err := t.client.Quarantine(ctx)
	if err != nil {
		return err
	}
	return t.print(records, func() {
		w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "FINGERPRINT\tKIND\tCLIENT ACCOUNT\tSTATE\tUPSTREAMS CRASHED\tEXPIRES (UTC)")
		for _, r := range records {
			kind := "request"
			if r.Part {
				kind = "part"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", r.Fingerprint, kind, r.Account, r.State, strings.Join(r.CrashedUpstreams, ","), r.Expires.UTC().Format(time.DateTime))
		}
		w.Flush()
	})
}
