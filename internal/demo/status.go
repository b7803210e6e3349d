package demo

import (
	"context"

	"github.com/kingcupreel/kingcupreel/internal/ctl"
)

// connectedUpstreams returns the number of upstreams that the entry is connected
// to.
func (d *Demo) connectedUpstreams(ctx context.Context) (int, error) {
	client := ctl.Client{BaseURL: d.Ops, Token: OperatorToken}
	status, err := client.Status(ctx)
	if err != nil {
		return 0, err
	}
	return status.Connected(), nil
}
