package ctl

import (
	"encoding/json"
	"fmt"

	"github.com/kingcupreel/kingcupreel/internal/opapi"
)

// printPlan prints the state of the expert plans as text, or the answer as it
// is if it can't be decoded.
func (t *tool) printPlan(answer json.RawMessage) {
	var plans opapi.Plans
	if err := json.Unmarshal(answer, &plans); err != nil {
		fmt.Fprintln(t.out, string(answer))
		return
	}
	for _, p := range plans.Plans {
		if !p.IsLeader {
			fmt.Fprintf(t.out, "%s: another entry plans\n", p.Group)
			continue
		}
		fmt.Fprintf(t.out, "%s: map %d, %s %s; fence %d; last plan: skew %.3f to %.3f, %d slots, %d bytes; %d map switches left\n",
			p.Group, p.Version, p.State, p.Reason, p.Fence, p.SkewBefore, p.SkewAfter, p.Moved, p.Bytes, p.StagesLeft)
		if len(p.Stragglers) > 0 {
			fmt.Fprintf(t.out, "%s: ranks %v are slow for reasons other than their experts' load\n", p.Group, p.Stragglers)
		}
	}
}
