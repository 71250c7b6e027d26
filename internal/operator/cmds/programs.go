package cmds

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/urfave/cli/v3"
	"hawthornrail.example/hawthornrail/internal/operator/api"
)

const maxLineBytes = 1 << 20

var errProgramID = errors.New("want one PROGRAM_ID")

func programsCommand() *cli.Command {
	return &cli.Command{
		Name:  "programs",
		Usage: "show and end the programs homed at a VM",
		Commands: []*cli.Command{
			{
				Name:        "list",
				Usage:       "list the programs homed at a VM",
				Description: "Example: hawthornrail programs list --address 10.0.0.2:9100 --output json",
				Flags:       []cli.Flag{addressFlag(), outputFlag()},
				Action: func(_ context.Context, c *cli.Command) error {
					return requestPrograms(c, http.MethodGet, "/v1/programs")
				},
			},
			{
				Name:        "show",
				Usage:       "show one program",
				ArgsUsage:   "PROGRAM_ID",
				Description: "Example: hawthornrail programs show dc1.vm1.mh0aaaaa.1.0f1e2d3c --address 10.0.0.2:9100",
				Flags:       []cli.Flag{addressFlag(), outputFlag()},
				Action: func(_ context.Context, c *cli.Command) error {
					return requestProgram(c, http.MethodGet, "")
				},
			},
			{
				Name:        "end",
				Usage:       "end one program and its sub-agents",
				ArgsUsage:   "PROGRAM_ID",
				Description: "Example: hawthornrail programs end dc1.vm1.mh0aaaaa.1.0f1e2d3c --address 10.0.0.2:9100 --reason looping",
				Flags: []cli.Flag{
					addressFlag(), outputFlag(), &cli.StringFlag{Name: "reason", Usage: "the reason, as `TEXT` kept with the program"},
				},
				Action: func(_ context.Context, c *cli.Command) error {
					return requestProgram(c, http.MethodDelete, "?reason="+url.QueryEscape(c.String("reason")))
				},
			},
		},
	}
}

func requestProgram(c *cli.Command, method, query string) error {
	if c.Args().Len() != 1 {
		return exitError{ExitUsage, errProgramID}
	}
	return requestPrograms(c, method, "/v1/programs/"+url.PathEscape(c.Args().First())+query)
}

// requestPrograms prints the programs in the response of a VM, one per line.
func requestPrograms(c *cli.Command, method, path string) error {
	status, body, err := sendRequest(c, method, path)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return exitError{ExitFailed, errors.New(strings.TrimSpace(string(body)))}
	}
	if c.String("output") == "json" {
		_, err := c.Root().Writer.Write(body)
		return err
	}
	lines := bufio.NewScanner(bytes.NewReader(body))
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if err := printProgram(c, lines.Bytes()); err != nil {
			return err
		}
	}
	return lines.Err()
}

func printProgram(c *cli.Command, line []byte) error {
	var p api.Program
	if err := json.Unmarshal(line, &p); err != nil {
		return fmt.Errorf("VM at %s: %w", c.String("address"), err)
	}
	state := "live"
	if p.Ended != "" {
		state = "ended (" + p.Ended + ")"
	}
	_, err := fmt.Fprintf(c.Root().Writer, "%s team %s deployment %s home %s next call %d left %d calls %d tokens %d ms memory on [%s] %s\n",
		p.ID, p.Team, p.Deployment, p.Home, p.NextCall, p.RemainingBudget.Calls, p.RemainingBudget.Tokens, p.RemainingBudget.WallTimeMS, strings.Join(p.Memory, " "), state)
	return err
}
