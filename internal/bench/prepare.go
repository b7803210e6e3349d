package bench

import (
	"context"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/kingcupreel/kingcupreel/internal/ctl"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/standin"
)

const (
	awaitTimeout      = 60 * time.Second
	awaitPollInterval = 100 * time.Millisecond
)

func declareAwait(app *kingpin.Application, _ env) (string, command) {
	cmd := app.Command("await", "Wait until an entry is connected to at least a number of upstreams.")
	var client ctl.Client
	cmd.Flag("ops", "Base URL of the entry's ops listener.").Required().StringVar(&client.BaseURL)
	cmd.Flag("token", "Operator's bearer token.").Required().StringVar(&client.Token)
	minConnected := cmd.Flag("connected", "Number of upstreams.").Required().Int()
	return cmd.FullCommand(), func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
		defer cancel()
		return await(ctx, &client, *minConnected)
	}
}

// await polls the entry's status until at least minConnected upstreams are
// connected. It returns a timeout fault when ctx is done.
func await(ctx context.Context, client *ctl.Client, minConnected int) error {
	for {
		status, err := client.Status(ctx)
		n := status.Connected()
		if err == nil && n >= minConnected {
			return nil
		}
		if sleep(ctx, awaitPollInterval) != nil {
			return fault.New(fault.Timeout, "read the entry's log", "%d of %d upstreams connected", n, minConnected)
		}
	}
}

func declareListVM(app *kingpin.Application, _ env) (string, command) {
	cmd := app.Command("list-vm", "Add the VM of an entry to the VM list of the stand-in.")
	url := cmd.Flag("platform", "Base URL of the key-value stand-in.").Required().String()
	vm := kvstore.VM{DataCentre: "dc1", Role: "entry", State: kvstore.VMLive}
	cmd.Flag("id", "Id of the VM.").Required().StringVar(&vm.ID)
	cmd.Flag("address", "Inner address of the entry.").Required().StringVar(&vm.Address)
	return cmd.FullCommand(), func(ctx context.Context) error {
		return standin.Post(ctx, *url+"/admin/vms", vm)
	}
}
