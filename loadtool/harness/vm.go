package harness

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// LiveVMs returns the VMs whose process has not ended.
func (d *Deployment) LiveVMs() []*VM {
	var live []*VM
	for _, v := range d.VMs {
		select {
		case <-v.Done():
		default:
			live = append(live, v)
		}
	}
	return live
}

// WaitReady waits until the VM reports that it is ready.
func (d *Deployment) WaitReady(ctx context.Context, v *VM) error {
	return WaitFor(ctx, d.config.Timer, readyTimeout, func() error {
		response, err := d.http.Get("http://" + v.Observe.String() + "/ready")
		if err != nil {
			return eris.Wrapf(err, "harness: %s is not up", v.Name)
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return eris.Errorf("harness: %s is not ready", v.Name)
		}
		return nil
	})
}

func (d *Deployment) dataCentreVMs() error {
	shape := d.config.Spec
	for i, dataCentre := range shape.VMs {
		region := shape.regionOf(dataCentre)
		name := fmt.Sprintf("vm-%d", i+1)
		peer, err := d.place(name, region, vmNet, byte(i+1))
		if err != nil {
			return err
		}
		v := &VM{
			DataCentre: dataCentre,
			Region:     region,
			peer:       peer,
			settings:   filepath.Join(d.config.WorkDir, name+".yaml"),
			Process: &Process{
				Name: name,
			},
		}
		for _, address := range []*netip.AddrPort{&v.Caller, &v.Operator, &v.Observe} {
			if *address, err = freePort(peer.listen.Addr()); err != nil {
				return err
			}
		}
		d.VMs = append(d.VMs, v)
	}
	return nil
}

// startVMs starts the proxies and waits until they listen; they are ready once
// there is a configuration.
func (d *Deployment) startVMs(ctx context.Context) error {
	if err := d.SetVMList(ctx, d.VMs); err != nil {
		return err
	}
	for _, v := range d.VMs {
		if err := os.WriteFile(v.settings, []byte(d.vmSettings(v)), 0o600); err != nil {
			return eris.Wrapf(err, "harness: settings of %s", v.Name)
		}
		process, err := StartProcess(ProcessConfig{
			Name:   v.Name,
			Binary: filepath.Join(d.config.BinDir, "amaranthdock"),
			Args:   []string{"--settings", v.settings},
			LogDir: d.config.WorkDir,
		})
		if err != nil {
			return err
		}
		v.Process = process
	}
	for _, v := range d.VMs {
		if err := d.waitListening(ctx, v.Operator); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) vmSettings(v *VM) string {
	text := joinLines(
		quoted("vm", v.Name),
		quoted("dataCentre", v.DataCentre),
		quoted("region", v.Region),
		quoted("storeRegion", d.config.Spec.StoreRegion),
		quoted("callerListen", v.Caller),
		quoted("peerListen", v.peer.listen),
		quoted("peerAddress", v.peer.advertise),
		quoted("operatorListen", v.Operator),
		quoted("observeListen", v.Observe),
		quoted("platformAddress", d.platform.advertise),
		quoted("sessionKeyFile", d.sessionKeyFile()),
		quoted("logLevel", "info"),
		"seedPeers:",
	)
	for _, other := range d.VMs {
		if other != v {
			text += fmt.Sprintf("  - %q\n", other.peer.advertise.String())
		}
	}
	sections := []string{"operatorTls"}
	if !d.config.DisablePeerTLS {
		sections = append(sections, "peerTls")
	}
	for _, section := range sections {
		text += joinLines(
			section+":",
			"  "+quoted("certificateFile", d.certificates.CertificateFile),
			"  "+quoted("keyFile", d.certificates.KeyFile),
			"  "+quoted("caFile", d.certificates.CAFile),
		)
	}
	return text
}
