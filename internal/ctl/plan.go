package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/kingcupreel/kingcupreel/internal/opapi"
)

// Plans returns what the entry knows of the groups' planning.
func (c *Client) Plans(ctx context.Context) (opapi.Plans, error) {
	var p opapi.Plans
	return p, c.do(ctx, http.MethodGet, opapi.PathPlans, nil, &p)
}

// plan shows the planning of every group.
func (t *tool) plan(ctx context.Context) error {
	plans, err := t.client.Plans(ctx)
	if err != nil {
		return err
	}
	if t.output == "json" {
		return json.NewEncoder(t.out).Encode(plans)
	}
	for _, p := range plans.Plans {
		if !p.Leads {
			fmt.Fprintf(t.out, "%s: another entry plans\n", p.Group)
			continue
		}
		fmt.Fprintf(t.out, "%s: map %d, %s %s; fence %d; last plan: skew %.3f to %.3f, %d slots, %d bytes; %d switches to come\n",
			p.Group, p.Version, p.State, p.Note, p.Fence, p.SkewBefore, p.SkewAfter, p.Moved, p.Bytes, p.StagesLeft)
		if len(p.Stragglers) > 0 {
			fmt.Fprintf(t.out, "%s: ranks %v are slow for other reasons than their experts\n", p.Group, p.Stragglers)
		}
	}
	return nil
}
