package harness

import (
	"context"
	"path/filepath"
	"slices"
	"strconv"
)

// host returns the name of the member's host on the network.
func (m *Member) host() string {
	return m.address.host.name
}

// MembersOf returns the members of a database.
func (d *Deployment) MembersOf(database string) []*Member {
	var members []*Member
	for _, m := range d.Members {
		if m.Database == database {
			members = append(members, m)
		}
	}
	return members
}

// IsolateMember blocks the traffic between a member and all other hosts.
func (d *Deployment) IsolateMember(m *Member) {
	d.Network.Isolate(m.host())
}

// placeMembers assigns the members of each database to the data centres in turn.
func (d *Deployment) placeMembers() error {
	spec := d.config.Spec
	dataCentres := spec.dataCentres()
	number := byte(0)
	for i, database := range spec.Databases {
		for j := range MembersPerDatabase {
			dataCentre := dataCentres[(i+j)%len(dataCentres)]
			endpoint := database + "-" + string(rune('a'+j))
			number++
			address, err := d.addHost(endpoint, spec.regionOf(dataCentre), memberByte, number)
			if err != nil {
				return err
			}
			d.Members = append(d.Members, &Member{
				Endpoint:   endpoint,
				Database:   database,
				DataCentre: dataCentre,
				address:    address,
			})
		}
	}
	return nil
}

func (d *Deployment) startMembers(ctx context.Context) error {
	for _, m := range d.Members {
		process, err := StartProcess(ProcessConfig{
			Name:   m.Endpoint,
			Binary: filepath.Join(d.config.BinDir, "standin"),
			Args:   d.memberArgs(m),
			LogDir: d.config.WorkDir,
		})
		if err != nil {
			return err
		}
		m.Process = process
	}
	for _, m := range d.Members {
		if err := d.waitListening(ctx, m.address.listen); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) memberArgs(m *Member) []string {
	spec := d.config.Spec
	args := []string{
		"member",
		"--name", m.Endpoint,
		"--listen", m.address.listen.String(),
		"--slots", strconv.Itoa(spec.Slots),
		"--connections", strconv.Itoa(spec.Connections),
		"--connection-cost", spec.ConnectionCost.String(),
		"--statement-time", spec.StatementTime.String(),
		"--lag", spec.ReplicationLag.String(),
		"--log-file", filepath.Join(d.config.WorkDir, m.Endpoint+".data"),
	}
	if spec.ResponseDelay > 0 {
		args = append(args, "--answer-delay", spec.ResponseDelay.String())
	}
	if spec.PieceRows > 0 {
		args = append(args, "--piece-rows", strconv.Itoa(spec.PieceRows))
	}
	for _, other := range d.MembersOf(m.Database) {
		if other != m {
			args = append(args, "--peer", other.Endpoint+"="+other.address.advertise.String())
		}
	}
	return args
}

// MembersPerDatabase is the number of members of each database.
const MembersPerDatabase = 3

func (s Spec) dataCentres() []string {
	var dataCentres []string
	for _, r := range s.Regions {
		dataCentres = append(dataCentres, r.DataCentres...)
	}
	return dataCentres
}

func (s Spec) regionOf(dataCentre string) string {
	for _, r := range s.Regions {
		if slices.Contains(r.DataCentres, dataCentre) {
			return r.Name
		}
	}
	return ""
}
