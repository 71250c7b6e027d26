package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/operator/change"
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

func platformError(err error) error {
	var conflict *change.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict), errors.Is(err, client.ErrConflict):
		return exitError{ExitConflict, err}
	case errors.Is(err, client.ErrUnavailable):
		return exitError{ExitUnavailable, err}
	default:
		return exitError{ExitFailed, err}
	}
}

func printObject(c *cli.Command, o objects.Object) error {
	if c.String("output") == "json" {
		return json.NewEncoder(c.Root().Writer).Encode(o)
	}
	_, err := fmt.Fprintf(c.Root().Writer, "%s/%s accepted at version %d\n", o.Kind, o.Name, o.Version)
	return err
}

func keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "issue and revoke callers' keys",
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
				Usage:       "revoke a key by its id",
				ArgsUsage:   "KEY_ID",
				Description: "Example: hawthornrail key withdraw 0f1e2d3c4b5a --platform 10.0.0.1:9000",
				Flags:       []cli.Flag{platformFlag(), outputFlag(), allowFlag()},
				Action:      revokeKey,
			},
		},
	}
}

// issuedKey is the JSON form of a new key.
type issuedKey struct {
	Key     string `json:"key"`
	ID      string `json:"key_id"`
	Version uint64 `json:"version"`
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
	o, err := change.New(p, clock.Real()).Put(ctx, objects.KindKey, id, 0, objects.Key{Hash: hash, Deployment: deployment})
	if err != nil {
		return platformError(err)
	}
	if c.String("output") == "json" {
		return json.NewEncoder(c.Root().Writer).Encode(issuedKey{Key: key, ID: id, Version: o.Version})
	}
	_, err = fmt.Fprintln(c.Root().Writer, key)
	return err
}

func revokeKey(ctx context.Context, c *cli.Command) error {
	p := client.New(c.String("platform"), dial.New(nil))
	editor := change.New(p, clock.Real())
	live, err := editor.Load(ctx)
	if err != nil {
		return platformError(err)
	}
	o := live.Object(objects.KindKey, c.Args().First())
	if o.Version == 0 {
		return exitError{ExitFailed, fmt.Errorf("no key %q", c.Args().First())}
	}
	var value objects.Key
	if err := o.Decode(&value); err != nil {
		return err
	}
	if value.Revoked {
		return printObject(c, o)
	}
	value.Revoked = true
	object, err := change.NewObject(live, o.Kind, o.Name, value)
	if err != nil {
		return err
	}
	if err := checkFindings(c, live, []objects.ChangeObject{object}); err != nil {
		return err
	}
	o, err = editor.Put(ctx, o.Kind, o.Name, o.Version, value)
	if err != nil {
		return platformError(err)
	}
	return printObject(c, o)
}
