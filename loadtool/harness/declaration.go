package harness

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"amaranthdock.dev/declaration"
)

// Declaration is the configuration document of a deployment and the workspaces' keys.
type Declaration struct {
	Document *declaration.Document
	// Keys holds the key of each workspace in the form that clients send.
	Keys map[string]string
}

// Names of the presets of every deployment.
const (
	PresetOrdinary    = "ordinary"
	PresetPeak        = "peak"
	PresetMaintenance = "maintenance"
)

// PublicRoute is the route that all callers may use, in every deployment.
const PublicRoute = "verify"

// NewDeclaration returns the document of the deployment with a new key for each workspace.
func (d *Deployment) NewDeclaration() *Declaration {
	spec := d.config.Spec
	document := &declaration.Document{
		StoreRegion:   spec.StoreRegion,
		PresetInForce: PresetOrdinary,
		Presets: []declaration.Preset{
			newPreset(PresetOrdinary, 5*time.Second, 2*time.Second),
			newPreset(PresetPeak, 3*time.Second, time.Second),
			newPreset(PresetMaintenance, 10*time.Second, 5*time.Second),
		},
		Routes: []declaration.Route{
			{
				Name:     PublicRoute,
				Database: spec.Databases[0],
				Commands: []string{"get"},
				Rate:     100,
				Burst:    100,
				Worth:    1,
			},
		},
	}
	for _, r := range spec.Regions {
		document.Regions = append(document.Regions, declaration.Region{
			Name:        r.Name,
			DataCentres: r.DataCentres,
		})
	}
	document.Services = []declaration.Service{
		{
			Name:      spec.Service,
			Databases: d.databaseDeclarations(),
		},
	}
	declared := &Declaration{
		Document: document,
		Keys:     map[string]string{},
	}
	for _, w := range spec.Workspaces {
		newKey := declaration.NewKey()
		declared.Keys[w.Name] = newKey.Text
		document.Workspaces = append(document.Workspaces, declaration.Workspace{
			Name:      w.Name,
			Worth:     w.Worth,
			Rate:      w.Rate,
			Burst:     w.Burst,
			Databases: spec.Databases,
			Keys:      []declaration.Key{newKey.Key},
		})
	}
	return declared
}

// Apply applies a declaration with amaranthctl and waits until all VMs are ready.
func (d *Deployment) Apply(ctx context.Context, declared *Declaration) error {
	text, err := yaml.Marshal(declared.Document)
	if err != nil {
		return eris.Wrap(err, "harness: encode the declaration")
	}
	file := filepath.Join(d.config.WorkDir, "declaration.yaml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return eris.Wrap(err, "harness: write the declaration")
	}
	if _, err := d.RunAmaranthctl(ctx, "apply", file); err != nil {
		return err
	}
	for _, v := range d.LiveVMs() {
		if err := d.WaitReady(ctx, v); err != nil {
			return err
		}
	}
	return nil
}

// RunAmaranthctl runs amaranthctl and returns its output.
func (d *Deployment) RunAmaranthctl(ctx context.Context, args ...string) (string, error) {
	all := append(d.AmaranthctlFlags(), args...)
	command := exec.CommandContext(ctx, filepath.Join(d.config.BinDir, "amaranthctl"), all...)
	output, err := command.CombinedOutput()
	if err != nil {
		return string(output), eris.Wrapf(err, "harness: amaranthctl %v: %s", args, output)
	}
	return string(output), nil
}

// AmaranthctlFlags returns the flags with which amaranthctl reaches the deployment.
func (d *Deployment) AmaranthctlFlags() []string {
	flags := []string{
		"--ca-file", d.certificates.CAFile,
		"--certificate-file", d.certificates.CertificateFile,
		"--key-file", d.certificates.KeyFile,
	}
	for _, v := range d.LiveVMs() {
		flags = append(flags, "--proxy", v.Operator.String())
	}
	return flags
}

func (d *Deployment) databaseDeclarations() []declaration.Database {
	spec := d.config.Spec
	var databases []declaration.Database
	for _, name := range spec.Databases {
		database := declaration.Database{
			Name: name,
		}
		for _, m := range d.MembersOf(name) {
			database.Endpoints = append(database.Endpoints, declaration.Endpoint{
				Name:        m.Endpoint,
				DataCentre:  m.DataCentre,
				Address:     m.address.advertise,
				Slots:       spec.Slots,
				Connections: spec.Connections,
			})
		}
		databases = append(databases, database)
	}
	return databases
}

func newPreset(name string, deadline, queueWait time.Duration) declaration.Preset {
	return declaration.Preset{
		Name:         name,
		Deadline:     deadline,
		MaxQueueWait: queueWait,
	}
}
