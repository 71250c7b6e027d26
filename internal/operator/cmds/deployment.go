package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"hawthornrail.example/hawthornrail/internal/operator/change"
	"hawthornrail.example/hawthornrail/internal/operator/template"
	"hawthornrail.example/hawthornrail/internal/platform/objects"
)

func allowFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "allow", Usage: "accept a change despite findings with this `REASON`; the reason is kept in the history"}
}

func reasonFlag() cli.Flag {
	return &cli.StringFlag{Name: "reason", Usage: "the reason for the change, as `TEXT` for the history"}
}

func templateFileFlag() cli.Flag {
	return &cli.StringFlag{Name: "template", Usage: "use the template in `FILE`, offline"}
}

func optionalPlatformFlag() cli.Flag {
	return &cli.StringFlag{Name: "platform", Usage: "the platform's `IP:PORT`", Sources: cli.EnvVars("HAWTHORNRAIL_PLATFORM")}
}

func deploymentCommand() *cli.Command {
	offline := []cli.Flag{templateFileFlag(), optionalPlatformFlag(), outputFlag(), allowFlag()}
	return &cli.Command{
		Name:  "deployment",
		Usage: "manage the deployments of teams",
		Commands: []*cli.Command{
			{
				Name: "render", Usage: "print the deployments that files render to", ArgsUsage: "FILE...",
				Description: "Example: hawthornrail deployment render counter.toml --template branch.toml",
				Flags:       offline, Action: renderDeployments,
			},
			{
				Name: "check", Usage: "check deployment files", ArgsUsage: "FILE...",
				Description: "Example: hawthornrail deployment check counter.toml --platform 10.0.0.1:9000",
				Flags:       offline, Action: checkDeployments,
			},
			{
				Name: "diff", Usage: "compare deployment files with the platform", ArgsUsage: "FILE...",
				Description: "Example: hawthornrail deployment diff counter.toml --platform 10.0.0.1:9000",
				Flags:       []cli.Flag{platformFlag(), outputFlag()}, Action: diffDeployments,
			},
			{
				Name: "apply", Usage: "apply deployment files as one atomic change", ArgsUsage: "FILE...",
				Description: "Example: hawthornrail deployment apply counter.toml --platform 10.0.0.1:9000",
				Flags: []cli.Flag{
					platformFlag(), outputFlag(), allowFlag(), reasonFlag(),
					&cli.BoolFlag{Name: "dry-run", Usage: "check everything and write nothing"},
				},
				Action: applyDeployments,
			},
			{
				Name: "history", Usage: "list the stored versions of a deployment", ArgsUsage: "NAME",
				Description: "Example: hawthornrail deployment history counter --platform 10.0.0.1:9000",
				Flags:       []cli.Flag{platformFlag(), outputFlag()}, Action: showHistory,
			},
			{
				Name: "rollback", Usage: "restore an old version as a new one", ArgsUsage: "NAME",
				Description: "Example: hawthornrail deployment rollback counter --to 3 --platform 10.0.0.1:9000",
				Flags: []cli.Flag{
					platformFlag(), outputFlag(), allowFlag(), reasonFlag(),
					&cli.Uint64Flag{Name: "to", Usage: "the `NUMBER` in the history", Required: true},
				},
				Action: rollbackDeployment,
			},
			deploymentStatusCommand(),
			capacityCommand(),
		},
	}
}

func readDeploymentSpecs(paths []string) ([]template.DeploymentSpec, error) {
	var list []template.DeploymentSpec
	var errs []error
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			errs = append(errs, fmt.Errorf("read deployment: %w", err))
			continue
		}
		f, err := template.ParseDeployment(objectName(path), path, string(text))
		errs = append(errs, err)
		list = append(list, f)
	}
	if err := errors.Join(errs...); err != nil {
		return nil, exitError{ExitInvalid, err}
	}
	return list, nil
}

// rendered is a rendered deployment with the stored object that it replaces.
type rendered struct {
	name  string
	value objects.Deployment
	old   objects.Object
	diff  []string
}

// renderFiles renders deployment files with the template given by --template, or
// with the stored templates.
func renderFiles(c *cli.Command, live change.Live) ([]rendered, error) {
	paths, err := fileArguments(c)
	if err != nil {
		return nil, err
	}
	specs, err := readDeploymentSpecs(paths)
	if err != nil {
		return nil, err
	}
	var list []rendered
	var errs []error
	for _, f := range specs {
		t, o, err := findTemplate(c, live, f)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		value, err := template.Render(t, f)
		value.Source.TemplateVersion = o.Version
		errs = append(errs, err)
		r, err := compareWithStored(live, f.Name(), value)
		errs = append(errs, err)
		list = append(list, r)
	}
	if err := errors.Join(errs...); err != nil {
		return nil, exitError{ExitInvalid, err}
	}
	return list, nil
}

func compareWithStored(live change.Live, name string, value objects.Deployment) (rendered, error) {
	r := rendered{name: name, value: value, old: live.Object(objects.KindDeployment, name)}
	if r.old.Version == 0 {
		r.diff = template.Diff(nil, value)
		return r, nil
	}
	var before objects.Deployment
	err := r.old.Decode(&before)
	r.diff = template.Diff(&before, value)
	return r, err
}

func findTemplate(c *cli.Command, live change.Live, f template.DeploymentSpec) (template.Template, objects.Object, error) {
	path := c.String("template")
	if path == "" {
		return storedTemplate(live, f.Template())
	}
	list, err := readTemplates([]string{path})
	if err != nil {
		return template.Template{}, objects.Object{}, err
	}
	if list[0].Name() != f.Template() {
		err = fmt.Errorf("deployment %s fills in template %q, not %q", f.Name(), f.Template(), list[0].Name())
	}
	return list[0], objects.Object{}, err
}

// loadUnlessOffline reads the configuration in force unless the command is
// offline.
func loadUnlessOffline(ctx context.Context, c *cli.Command) (change.Live, error) {
	if c.String("platform") == "" {
		if c.String("template") == "" {
			return change.Live{}, exitError{ExitUsage, errors.New("want --template FILE or --platform IP:PORT")}
		}
		return change.Live{}, nil
	}
	live, err := newEditor(c).Load(ctx)
	return live, platformError(err)
}

func renderDeployments(ctx context.Context, c *cli.Command) error {
	live, err := loadUnlessOffline(ctx, c)
	if err != nil {
		return err
	}
	list, err := renderFiles(c, live)
	if err != nil {
		return err
	}
	values := make([]objects.Deployment, 0, len(list))
	for _, r := range list {
		values = append(values, r.value)
	}
	return output(c, values, func() string {
		var b strings.Builder
		for _, r := range list {
			b.WriteString("# deployment " + r.name + "\n" + template.Print(r.value))
		}
		return b.String()
	})
}

func checkDeployments(ctx context.Context, c *cli.Command) error {
	live, err := loadUnlessOffline(ctx, c)
	if err != nil {
		return err
	}
	list, err := renderFiles(c, live)
	if err != nil {
		return err
	}
	if c.String("platform") != "" {
		if _, err := checkedObjects(c, live, list); err != nil {
			return err
		}
	}
	return reportChange(c, changeReport{Checked: true}, list)
}

func diffDeployments(ctx context.Context, c *cli.Command) error {
	live, err := loadUnlessOffline(ctx, c)
	if err != nil {
		return err
	}
	list, err := renderFiles(c, live)
	if err != nil {
		return err
	}
	return reportChange(c, changeReport{}, list)
}

// checkedObjects returns the objects of a change that puts the modified
// deployments in force, and an error if the change has findings.
func checkedObjects(c *cli.Command, live change.Live, list []rendered) ([]objects.ChangeObject, error) {
	var changeObjects []objects.ChangeObject
	for _, r := range list {
		if len(r.diff) == 0 {
			continue
		}
		object, err := change.NewObject(live, objects.KindDeployment, r.name, r.value)
		if err != nil {
			return nil, err
		}
		changeObjects = append(changeObjects, object)
	}
	return changeObjects, checkFindings(c, live, changeObjects)
}

// checkFindings returns an error if a change has findings that --allow does not
// accept.
func checkFindings(c *cli.Command, live change.Live, changeObjects []objects.ChangeObject) error {
	allowed := c.StringSlice("allow")
	for _, name := range allowed {
		if !slices.Contains(template.Reasons(), template.Reason(name)) {
			return exitError{ExitUsage, fmt.Errorf("--allow %s: want one of %v", name, template.Reasons())}
		}
	}
	after, err := live.After(changeObjects)
	if err != nil {
		return err
	}
	var errs []error
	for _, f := range template.Check(live.Snapshot(), after, live.Capacity()) {
		if slices.Contains(allowed, string(f.Reason)) {
			_, _ = fmt.Fprintf(c.Root().ErrWriter, "hawthornrail: allowed %s: %s\n", f.Reason, f.Message)
			continue
		}
		errs = append(errs, fmt.Errorf("%s: %s (--allow %s lets it through)", f.Reason, f.Message, f.Reason))
	}
	if err := errors.Join(errs...); err != nil {
		return exitError{ExitInvalid, err}
	}
	return nil
}

func applyDeployments(ctx context.Context, c *cli.Command) error {
	editor := newEditor(c)
	live, err := editor.Load(ctx)
	if err != nil {
		return platformError(err)
	}
	list, err := renderFiles(c, live)
	if err != nil {
		return err
	}
	return commit(ctx, c, editor, live, list)
}

func commit(ctx context.Context, c *cli.Command, editor *change.Editor, live change.Live, list []rendered) error {
	changeObjects, err := checkedObjects(c, live, list)
	if err != nil {
		return err
	}
	report := changeReport{DryRun: c.Bool("dry-run")}
	if len(changeObjects) > 0 && !report.DryRun {
		report.Version, err = editor.Commit(ctx, live, changeReason(c), changeObjects)
		if err != nil {
			return platformError(err)
		}
	}
	return reportChange(c, report, list)
}

// changeReason returns the operator's reason with the accepted findings.
func changeReason(c *cli.Command) string {
	reason := c.String("reason")
	if allowed := c.StringSlice("allow"); len(allowed) > 0 {
		reason = strings.TrimSpace(reason + " (allowed: " + strings.Join(allowed, ", ") + ")")
	}
	return reason
}

// changeReport is the JSON form of the result of a command on deployments.
type changeReport struct {
	Version     uint64             `json:"version,omitempty"`
	DryRun      bool               `json:"dry_run,omitempty"`
	Checked     bool               `json:"checked,omitempty"`
	Deployments []deploymentReport `json:"deployments"`
}

type deploymentReport struct {
	Name    string   `json:"name"`
	Changed bool     `json:"changed"`
	Diff    []string `json:"diff,omitempty"`
}

func reportChange(c *cli.Command, report changeReport, list []rendered) error {
	for _, r := range list {
		report.Deployments = append(report.Deployments, deploymentReport{Name: r.name, Changed: len(r.diff) > 0, Diff: r.diff})
	}
	return output(c, report, func() string {
		var b strings.Builder
		for _, d := range report.Deployments {
			switch {
			case !d.Changed:
				fmt.Fprintf(&b, "deployment/%s unchanged\n", d.Name)
			case report.Version > 0:
				fmt.Fprintf(&b, "deployment/%s accepted at version %d\n", d.Name, report.Version)
			default:
				fmt.Fprintf(&b, "deployment/%s would change\n", d.Name)
			}
			for _, line := range d.Diff {
				b.WriteString("  " + line + "\n")
			}
		}
		return b.String()
	})
}

func showHistory(ctx context.Context, c *cli.Command) error {
	live, err := newEditor(c).Load(ctx)
	if err != nil {
		return platformError(err)
	}
	entries, err := live.History(c.Args().First())
	if err != nil {
		return err
	}
	return output(c, objects.History{Entries: entries}, func() string {
		var b strings.Builder
		for _, e := range entries {
			at := time.UnixMilli(e.AcceptedUnix).UTC().Format(time.RFC3339)
			fmt.Fprintf(&b, "%d\tversion %d\t%s\t%s\n", e.Number, e.Version, at, e.Reason)
		}
		return b.String()
	})
}

func rollbackDeployment(ctx context.Context, c *cli.Command) error {
	name, number := c.Args().First(), c.Uint64("to")
	editor := newEditor(c)
	live, err := editor.Load(ctx)
	if err != nil {
		return platformError(err)
	}
	entries, err := live.History(name)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(entries, func(e objects.HistoryEntry) bool { return e.Number == number })
	if i < 0 {
		return exitError{ExitFailed, fmt.Errorf("deployment %q has no version number %d in its history", name, number)}
	}
	r, err := compareWithStored(live, name, entries[i].Value)
	if err != nil {
		return err
	}
	return commit(ctx, c, editor, live, []rendered{r})
}

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name: "capacity", Usage: "set the capacity of the fleet; apply refuses changes that raise the sum of the rates above it",
		Description: "Example: hawthornrail deployment capacity --rate 7300 --platform 10.0.0.1:9000",
		Flags: []cli.Flag{
			platformFlag(), outputFlag(),
			&cli.Float64Flag{Name: "rate", Usage: "`REQUESTS` per second; 0 removes the stated capacity", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			editor := newEditor(c)
			live, err := editor.Load(ctx)
			if err != nil {
				return platformError(err)
			}
			o := live.Object(objects.KindCapacity, objects.CapacityName)
			o, err = editor.Put(ctx, o.Kind, o.Name, o.Version, objects.Capacity{RatePerSecond: c.Float64("rate")})
			if err != nil {
				return platformError(err)
			}
			return printObject(c, o)
		},
	}
}
