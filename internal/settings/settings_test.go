package settings_test

import (
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

// declare returns an application with the commands entry and agent.
func declare() (*kingpin.Application, *settings.Entry, *settings.Agent) {
	app := kingpin.New("test", "").Terminate(nil)
	var e settings.Entry
	var a settings.Agent
	e.Declare(app.Command("entry", ""))
	a.Declare(app.Command("agent", ""))
	return app, &e, &a
}

var _ = Describe("settings", func() {
	It("gives every flag an environment variable, a help text, and a default or a note whether it is required", func() {
		app, _, _ := declare()
		for _, cmd := range app.Model().Commands {
			for _, f := range cmd.Flags {
				Expect(f.Envar).To(Equal("KINGCUPREEL_"+strings.ToUpper(strings.ReplaceAll(f.Name, "-", "_"))), f.Name)
				Expect(f.Help).NotTo(BeEmpty(), f.Name)
				if len(f.Default) == 0 {
					Expect(f.Help).To(Or(ContainSubstring("Required"), ContainSubstring("Optional")), f.Name)
				}
			}
		}
	})

	It("accepts its defaults with the required flags", func() {
		app, e, a := declare()
		_, err := app.Parse([]string{"entry", "--process", "e", "--data-centre", "d", "--platform", "http://10.0.0.5:1"})
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Check()).To(Succeed())
		_, err = app.Parse([]string{"agent", "--process", "a", "--data-centre", "d", "--upstream", "u", "--target", "http://10.0.0.5:1"})
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Check()).To(Succeed())
	})

	It("reports all faults at once, each with flag, variable, value and remedy", func() {
		app, e, _ := declare()
		_, err := app.Parse([]string{
			"entry", "--heartbeat", "soon", "--drain-timeout=-1s", "--inner-listen", "here",
			"--seed", "10.0.0.1:1", "--seed", "there", "--operator-token-sha256", "ABC",
		})
		Expect(err).NotTo(HaveOccurred())
		faults := strings.Split(e.Check().Error(), "\n")
		for _, want := range []string{
			`--process (KINGCUPREEL_PROCESS) is ""; `, `--data-centre (KINGCUPREEL_DATA_CENTRE) is ""; `,
			`--platform (KINGCUPREEL_PLATFORM) is ""; `, `--heartbeat (KINGCUPREEL_HEARTBEAT) is "soon"; `,
			`--drain-timeout (KINGCUPREEL_DRAIN_TIMEOUT) is "-1s"; `, `--inner-listen (KINGCUPREEL_INNER_LISTEN) is "here"; `,
			`--seed (KINGCUPREEL_SEED) is "there"; `, `--operator-token-sha256 (KINGCUPREEL_OPERATOR_TOKEN_SHA256) is "ABC"; `,
		} {
			Expect(faults).To(ContainElement(HavePrefix(want)))
		}
	})
})
