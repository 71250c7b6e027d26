package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/urfave/cli/v3"
	"hawthornrail.example/hawthornrail/internal/platform/client"
	"hawthornrail.example/hawthornrail/internal/platform/objects"
	"hawthornrail.example/hawthornrail/internal/team/keyring"
	"hawthornrail.example/hawthornrail/internal/vm/dial"
)

func platformFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "platform", Usage: "the platform's `IP:PORT`", Required: true,
		Sources: cli.EnvVars("HAWTHORNRAIL_PLATFORM"),
	}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Usage: "the `FORMAT`: text or json", Value: "text"}
}

// deploymentFile is the TOML form of a deployment.
type deploymentFile struct {
	Team          string        `toml:"team"`
	RatePerSecond float64       `toml:"rate_per_second"`
	Burst         float64       `toml:"burst"`
	Priority      int           `toml:"priority"`
	Models        []string      `toml:"models"`
	Services      []string      `toml:"services"`
	WhenCutOff    string        `toml:"when_cut_off"`
	StaleAfter    time.Duration `toml:"stale_after"`
	Budget        struct {
		Calls    uint64        `toml:"calls"`
		Tokens   uint64        `toml:"tokens"`
		WallTime time.Duration `toml:"wall_time"`
		Depth    uint32        `toml:"depth"`
		Children uint32        `toml:"children"`
	} `toml:"budget"`
}

func deploymentCommand() *cli.Command {
	return &cli.Command{
		Name:  "deployment",
		Usage: "change what teams may do",
		Commands: []*cli.Command{{
			Name:        "apply",
			Usage:       "apply a deployment's TOML file",
			ArgsUsage:   "FILE",
			Description: "Example: hawthornrail deployment apply counter.toml --platform 10.0.0.1:9000",
			Flags:       []cli.Flag{platformFlag(), outputFlag()},
			Action:      applyDeployment,
		}},
	}
}

func applyDeployment(ctx context.Context, c *cli.Command) error {
	path := c.Args().First()
	if path == "" {
		return exitError{ExitUsage, errors.New("want one FILE")}
	}
	value, err := readDeployment(path)
	if err != nil {
		return exitError{ExitInvalid, err}
	}
	name := strings.TrimSuffix(filepath.Base(path), ".toml")
	o, err := put(ctx, client.New(c.String("platform"), dial.New(nil)), objects.KindDeployment, name, value)
	if err != nil {
		return err
	}
	return report(c, o)
}

func readDeployment(path string) (objects.Deployment, error) {
	var f deploymentFile
	meta, err := toml.DecodeFile(path, &f)
	if err != nil {
		return objects.Deployment{}, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return objects.Deployment{}, fmt.Errorf("%s: unknown key %s", path, unknown[0])
	}
	return objects.Deployment{
		Team: f.Team, RatePerSecond: f.RatePerSecond, Burst: f.Burst, Priority: f.Priority,
		Models: f.Models, Services: f.Services, WhenCutOff: f.WhenCutOff, StaleAfterMS: f.StaleAfter.Milliseconds(),
		Budget: objects.Budget{
			Calls: f.Budget.Calls, Tokens: f.Budget.Tokens, WallTimeMS: f.Budget.WallTime.Milliseconds(),
			Depth: f.Budget.Depth, Children: f.Budget.Children,
		},
	}, nil
}

// put writes an object over the version that it has now.
func put(ctx context.Context, p *client.Client, kind, name string, value any) (objects.Object, error) {
	current, err := p.Read(ctx, kind, name)
	if err != nil && !errors.Is(err, client.ErrNotFound) {
		return current, platformError(err)
	}
	o, err := p.Write(ctx, kind, name, current.Version, value)
	return o, platformError(err)
}

func platformError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, client.ErrConflict):
		return exitError{ExitConflict, err}
	case errors.Is(err, client.ErrUnavailable):
		return exitError{ExitUnavailable, err}
	default:
		return exitError{ExitFailed, err}
	}
}

func report(c *cli.Command, o objects.Object) error {
	if c.String("output") == "json" {
		return json.NewEncoder(c.Root().Writer).Encode(o)
	}
	_, err := fmt.Fprintf(c.Root().Writer, "%s/%s accepted at version %d\n", o.Kind, o.Name, o.Version)
	return err
}

func keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "issue and withdraw callers' keys",
		Commands: []*cli.Command{
			{
				Name:        "issue",
				Usage:       "issue a key for a deployment and print it once",
				ArgsUsage:   "DEPLOYMENT",
				Description: "Example: hawthornrail key issue counter --platform 10.0.0.1:9000",
				Flags:       []cli.Flag{platformFlag(), outputFlag()},
				Action:      issueKey,
			},
			{
				Name:        "withdraw",
				Usage:       "withdraw a key by its id",
				ArgsUsage:   "KEY_ID",
				Description: "Example: hawthornrail key withdraw 0f1e2d3c4b5a --platform 10.0.0.1:9000",
				Flags:       []cli.Flag{platformFlag(), outputFlag()},
				Action:      withdrawKey,
			},
		},
	}
}

func issueKey(ctx context.Context, c *cli.Command) error {
	deployment := c.Args().First()
	p := client.New(c.String("platform"), dial.New(nil))
	if _, err := p.Read(ctx, objects.KindDeployment, deployment); err != nil {
		return platformError(err)
	}
	key, id, hash, err := keyring.Issue()
	if err != nil {
		return err
	}
	o, err := p.Write(ctx, objects.KindKey, id, 0, objects.Key{Hash: hash, Deployment: deployment})
	if err != nil {
		return platformError(err)
	}
	if c.String("output") == "json" {
		return json.NewEncoder(c.Root().Writer).Encode(map[string]any{"key": key, "key_id": id, "version": o.Version})
	}
	_, err = fmt.Fprintln(c.Root().Writer, key)
	return err
}

func withdrawKey(ctx context.Context, c *cli.Command) error {
	p := client.New(c.String("platform"), dial.New(nil))
	o, err := p.Read(ctx, objects.KindKey, c.Args().First())
	if err != nil {
		return platformError(err)
	}
	var value objects.Key
	if err := o.Decode(&value); err != nil {
		return err
	}
	value.Withdrawn = true
	o, err = p.Write(ctx, objects.KindKey, o.Name, o.Version, value)
	if err != nil {
		return platformError(err)
	}
	return report(c, o)
}
