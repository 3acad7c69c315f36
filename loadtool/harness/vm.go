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

// Peer returns the address on which the VM listens for other VMs.
func (v *VM) Peer() netip.AddrPort { return v.peerAddress.listen }

// WaitReady waits until the VM reports that it is ready.
func (d *Deployment) WaitReady(ctx context.Context, v *VM) error {
	return WaitFor(ctx, d.config.Timer, readyTimeout, func() error {
		response, err := d.http.Get("http://" + v.Observe.String() + "/ready")
		if err != nil {
			return eris.Wrapf(err, "harness: %s does not respond", v.Name)
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return eris.Errorf("harness: %s is not ready", v.Name)
		}
		return nil
	})
}

func (d *Deployment) placeVMs() error {
	spec := d.config.Spec
	for i, dataCentre := range spec.VMs {
		region := spec.regionOf(dataCentre)
		name := fmt.Sprintf("vm-%d", i+1)
		peer, err := d.addHost(name, region, vmByte, byte(i+1))
		if err != nil {
			return err
		}
		v := &VM{
			DataCentre:   dataCentre,
			Region:       region,
			peerAddress:  peer,
			settingsFile: filepath.Join(d.config.WorkDir, name+".yaml"),
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

// startVMs starts the proxies and waits until they listen. They become ready only after a
// configuration has been applied.
func (d *Deployment) startVMs(ctx context.Context) error {
	if err := d.SetVMList(ctx, d.VMs); err != nil {
		return err
	}
	for _, v := range d.VMs {
		if err := os.WriteFile(v.settingsFile, []byte(d.vmSettings(v)), 0o600); err != nil {
			return eris.Wrapf(err, "harness: write the settings of %s", v.Name)
		}
		process, err := StartProcess(ProcessConfig{
			Name:   v.Name,
			Binary: filepath.Join(d.config.BinDir, "amaranthdock"),
			Args:   []string{"--settings", v.settingsFile},
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
		yamlField("vm", v.Name),
		yamlField("dataCentre", v.DataCentre),
		yamlField("region", v.Region),
		yamlField("storeRegion", d.config.Spec.StoreRegion),
		yamlField("callerListen", v.Caller),
		yamlField("peerListen", v.peerAddress.listen),
		yamlField("peerAddress", v.peerAddress.advertise),
		yamlField("operatorListen", v.Operator),
		yamlField("observeListen", v.Observe),
		yamlField("platformAddress", d.platform.advertise),
		yamlField("sessionKeyFile", d.sessionKeyFile()),
		yamlField("logLevel", "info"),
	) + d.config.VMSettings + "seedPeers:\n"
	for _, other := range d.VMs {
		if other != v {
			text += fmt.Sprintf("  - %q\n", other.peerAddress.advertise.String())
		}
	}
	sections := []string{"operatorTls"}
	if !d.config.DisablePeerTLS {
		sections = append(sections, "peerTls")
	}
	for _, section := range sections {
		text += joinLines(
			section+":",
			"  "+yamlField("certificateFile", d.certificates.CertificateFile),
			"  "+yamlField("keyFile", d.certificates.KeyFile),
			"  "+yamlField("caFile", d.certificates.CAFile),
		)
	}
	return text
}
