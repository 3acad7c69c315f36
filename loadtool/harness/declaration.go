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

// Declaration is the document of a deployment and the secrets of its keys.
type Declaration struct {
	Document *declaration.Document
	// Keys holds the text of each workspace's key.
	Keys map[string]string
}

// Presets of the deployments.
const (
	PresetOrdinary    = "ordinary"
	PresetPeak        = "peak"
	PresetMaintenance = "maintenance"
)

// PublicRoute is the route that is open to all in every deployment.
const PublicRoute = "verify"

// NewDeclaration makes the document of the deployment with a key for each workspace.
func (d *Deployment) NewDeclaration() *Declaration {
	shape := d.config.Spec
	document := &declaration.Document{
		StoreRegion:   shape.StoreRegion,
		PresetInForce: PresetOrdinary,
		Presets: []declaration.Preset{
			preset(PresetOrdinary, 5*time.Second, 2*time.Second),
			preset(PresetPeak, 3*time.Second, time.Second),
			preset(PresetMaintenance, 10*time.Second, 5*time.Second),
		},
		Routes: []declaration.Route{
			{
				Name:     PublicRoute,
				Database: shape.Databases[0],
				Commands: []string{"get"},
				Rate:     100,
				Burst:    100,
				Worth:    1,
			},
		},
	}
	for _, r := range shape.Regions {
		document.Regions = append(document.Regions, declaration.Region{
			Name:        r.Name,
			DataCentres: r.DataCentres,
		})
	}
	document.Services = []declaration.Service{
		{
			Name:      shape.Service,
			Databases: d.declareDatabases(),
		},
	}
	declared := &Declaration{
		Document: document,
		Keys:     map[string]string{},
	}
	for _, w := range shape.Workspaces {
		issued := declaration.NewKey()
		declared.Keys[w.Name] = issued.Text
		document.Workspaces = append(document.Workspaces, declaration.Workspace{
			Name:      w.Name,
			Worth:     w.Worth,
			Rate:      w.Rate,
			Burst:     w.Burst,
			Databases: shape.Databases,
			Keys:      []declaration.Key{issued.Key},
		})
	}
	return declared
}

// Apply applies a declaration with the operators' command line and waits until
// all VMs are ready.
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

// RunAmaranthctl runs the operators' command line and returns its output.
func (d *Deployment) RunAmaranthctl(ctx context.Context, args ...string) (string, error) {
	all := append(d.AmaranthctlFlags(), args...)
	command := exec.CommandContext(ctx, filepath.Join(d.config.BinDir, "amaranthctl"), all...)
	output, err := command.CombinedOutput()
	if err != nil {
		return string(output), eris.Wrapf(err, "harness: amaranthctl %v: %s", args, output)
	}
	return string(output), nil
}

// AmaranthctlFlags returns the flags with which the operators' command line reaches
// the deployment.
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

func (d *Deployment) declareDatabases() []declaration.Database {
	shape := d.config.Spec
	var databases []declaration.Database
	for _, name := range shape.Databases {
		database := declaration.Database{
			Name: name,
		}
		for _, m := range d.MembersOf(name) {
			database.Endpoints = append(database.Endpoints, declaration.Endpoint{
				Name:        m.Endpoint,
				DataCentre:  m.DataCentre,
				Address:     m.address.advertise,
				Slots:       shape.Slots,
				Connections: shape.Connections,
			})
		}
		databases = append(databases, database)
	}
	return databases
}

func preset(name string, deadline, queueWait time.Duration) declaration.Preset {
	return declaration.Preset{
		Name:         name,
		Deadline:     deadline,
		MaxQueueWait: queueWait,
	}
}
