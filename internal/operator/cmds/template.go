package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/operator/change"
	"hawthornrail.example/hawthornrail/internal/operator/template"
	"hawthornrail.example/hawthornrail/internal/platform/client"
	"hawthornrail.example/hawthornrail/internal/platform/objects"
	"hawthornrail.example/hawthornrail/internal/vm/dial"
)

func templateCommand() *cli.Command {
	return &cli.Command{
		Name:  "template",
		Usage: "manage the templates that deployments are rendered from",
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "check templates offline", ArgsUsage: "FILE...",
				Description: "Example: hawthornrail template check branch.toml",
				Flags:       []cli.Flag{outputFlag()},
				Action:      checkTemplates,
			},
			{
				Name: "apply", Usage: "store templates", ArgsUsage: "FILE...",
				Description: "Example: hawthornrail template apply branch.toml --platform 10.0.0.1:9000",
				Flags:       []cli.Flag{platformFlag(), outputFlag()},
				Action:      applyTemplates,
			},
			{
				Name: "list", Usage: "list the stored templates",
				Description: "Example: hawthornrail template list --platform 10.0.0.1:9000",
				Flags:       []cli.Flag{platformFlag(), outputFlag()},
				Action:      listTemplates,
			},
			{
				Name: "show", Usage: "print a stored template", ArgsUsage: "NAME",
				Description: "Example: hawthornrail template show branch --platform 10.0.0.1:9000",
				Flags:       []cli.Flag{platformFlag(), outputFlag()},
				Action:      showTemplate,
			},
		},
	}
}

func newEditor(c *cli.Command) *change.Editor {
	return change.New(client.New(c.String("platform"), dial.New(nil)), clock.Real())
}

// objectName returns the name of the object that a file defines.
func objectName(path string) string { return strings.TrimSuffix(filepath.Base(path), ".toml") }

func fileArguments(c *cli.Command) ([]string, error) {
	if c.Args().Len() == 0 {
		return nil, exitError{ExitUsage, errors.New("want at least one FILE")}
	}
	return c.Args().Slice(), nil
}

func readTemplates(paths []string) ([]template.Template, error) {
	var list []template.Template
	var errs []error
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			errs = append(errs, fmt.Errorf("read template: %w", err))
			continue
		}
		t, err := template.Parse(objectName(path), path, string(text))
		errs = append(errs, err)
		list = append(list, t)
	}
	if err := errors.Join(errs...); err != nil {
		return nil, exitError{ExitInvalid, err}
	}
	return list, nil
}

func checkTemplates(_ context.Context, c *cli.Command) error {
	paths, err := fileArguments(c)
	if err != nil {
		return err
	}
	list, err := readTemplates(paths)
	if err != nil {
		return err
	}
	return printTemplates(c, list)
}

// templateReport is the JSON form of a template.
type templateReport struct {
	Name       string   `json:"name"`
	Version    uint64   `json:"version,omitempty"`
	Changed    bool     `json:"changed,omitempty"`
	Parameters []string `json:"parameters,omitempty"`
	Text       string   `json:"text,omitempty"`
}

func printTemplates(c *cli.Command, list []template.Template) error {
	var reports []templateReport
	for _, t := range list {
		r := templateReport{Name: t.Name()}
		for _, p := range t.Parameters() {
			r.Parameters = append(r.Parameters, p.String())
		}
		reports = append(reports, r)
	}
	return output(c, reports, func() string {
		var b strings.Builder
		for _, r := range reports {
			b.WriteString(r.Name + "\n")
			for _, p := range r.Parameters {
				b.WriteString("  " + p + "\n")
			}
		}
		return b.String()
	})
}

// output prints v as JSON or text, as --output selects.
func output(c *cli.Command, v any, text func() string) error {
	if c.String("output") == "json" {
		return json.NewEncoder(c.Root().Writer).Encode(v)
	}
	_, err := fmt.Fprint(c.Root().Writer, text())
	return err
}

func applyTemplates(ctx context.Context, c *cli.Command) error {
	paths, err := fileArguments(c)
	if err != nil {
		return err
	}
	list, err := readTemplates(paths)
	if err != nil {
		return err
	}
	editor := newEditor(c)
	live, err := editor.Load(ctx)
	if err != nil {
		return platformError(err)
	}
	var reports []templateReport
	for _, t := range list {
		o := live.Object(objects.KindTemplate, t.Name())
		var stored objects.Template
		if o.Version > 0 {
			if err := o.Decode(&stored); err != nil {
				return err
			}
		}
		changed := stored.Text != t.Text()
		if changed {
			if o, err = editor.Put(ctx, o.Kind, o.Name, o.Version, objects.Template{Text: t.Text()}); err != nil {
				return platformError(err)
			}
		}
		reports = append(reports, templateReport{Name: t.Name(), Version: o.Version, Changed: changed})
	}
	return output(c, reports, func() string {
		var b strings.Builder
		for _, r := range reports {
			outcome := "unchanged"
			if r.Changed {
				outcome = "accepted"
			}
			fmt.Fprintf(&b, "template/%s %s at version %d\n", r.Name, outcome, r.Version)
		}
		return b.String()
	})
}

func listTemplates(ctx context.Context, c *cli.Command) error {
	live, err := newEditor(c).Load(ctx)
	if err != nil {
		return platformError(err)
	}
	reports := []templateReport{}
	for _, o := range live.Objects(objects.KindTemplate) {
		reports = append(reports, templateReport{Name: o.Name, Version: o.Version})
	}
	return output(c, reports, func() string {
		var b strings.Builder
		for _, r := range reports {
			fmt.Fprintf(&b, "%s\tversion %d\n", r.Name, r.Version)
		}
		return b.String()
	})
}

func showTemplate(ctx context.Context, c *cli.Command) error {
	name := c.Args().First()
	live, err := newEditor(c).Load(ctx)
	if err != nil {
		return platformError(err)
	}
	t, o, err := storedTemplate(live, name)
	if err != nil {
		return err
	}
	report := templateReport{Name: name, Version: o.Version, Text: t.Text()}
	return output(c, report, func() string { return t.Text() })
}

func storedTemplate(live change.Live, name string) (template.Template, objects.Object, error) {
	o := live.Object(objects.KindTemplate, name)
	if o.Version == 0 {
		return template.Template{}, o, exitError{ExitInvalid, fmt.Errorf("template %q is not stored; apply it first", name)}
	}
	var stored objects.Template
	if err := o.Decode(&stored); err != nil {
		return template.Template{}, o, err
	}
	t, err := template.Parse(name, "template/"+name, stored.Text)
	if err != nil {
		return t, o, exitError{ExitInvalid, err}
	}
	return t, o, nil
}
