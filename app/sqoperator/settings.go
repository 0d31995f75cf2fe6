package sqoperator

import (
	"path"
	"slices"
	"strconv"
	"strings"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqsettings"
)

// processes compares the settings of all processes in a folder.
type processes struct {
	cfg    *sqcommand.Configuration
	names  map[string]string
	first  string
	agreed []string
	faults []*sqerror.Error
}

// checkSettings checks the process settings among files, also against each
// other and against the declarations; cfg is nil when those have faults.
func checkSettings(files []file, cfg *sqcommand.Configuration) []*sqerror.Error {
	p := &processes{cfg: cfg, names: map[string]string{}}
	for _, f := range files {
		name := path.Base(f.path)
		switch {
		case strings.HasPrefix(name, "control"):
			s, all := sqsettings.ParseControl(f.path, f.data)
			p.faults = append(p.faults, all...)
			if s != nil {
				p.compare(f.path, s.Node().Deployment(), s.Node().Name(), s.Node().Zone(), s.ControlAddresses())
			}
		case strings.HasPrefix(name, "entry"):
			s, all := sqsettings.ParseEntry(f.path, f.data)
			p.faults = append(p.faults, all...)
			if s != nil {
				p.compare(f.path, s.Node().Deployment(), s.Node().Name(), s.Node().Zone(), s.ControlAddresses())
			}
		case strings.HasPrefix(name, "coordinator"):
			_, all := sqsettings.ParseCoordinator(f.path, f.data)
			p.faults = append(p.faults, all...)
		case strings.HasPrefix(name, "gateway"):
			_, all := sqsettings.ParseGateway(f.path, f.data)
			p.faults = append(p.faults, all...)
		}
	}
	return p.faults
}

func (p *processes) compare(file, deployment, name, zone string, controls []string) {
	if other, ok := p.names[name]; ok {
		p.add(file, "the name "+strconv.Quote(name)+" is taken by "+other, "give each process a name of its own")
	}
	p.names[name] = file
	sorted := slices.Sorted(slices.Values(controls))
	if p.agreed == nil {
		p.first, p.agreed = file, sorted
	}
	if !slices.Equal(p.agreed, sorted) {
		p.add(file, "cluster.controls differs from "+p.first, "write the same addresses in every file")
	}
	if p.cfg == nil {
		return
	}
	if deployment != p.cfg.GetDeployment() {
		p.add(file, "the deployment is "+strconv.Quote(deployment)+" but deployment.toml says "+strconv.Quote(p.cfg.GetDeployment()),
			"write deployment = "+strconv.Quote(p.cfg.GetDeployment()))
	}
	if zones := p.cfg.GetFleet().GetZones(); !slices.Contains(zones, zone) {
		p.add(file, "there is no availability zone "+strconv.Quote(zone), "write one of: "+strings.Join(zones, ", "))
	}
}

func (p *processes) add(file, detail, advice string) {
	p.faults = append(p.faults, sqerror.New(sqerror.Config{
		Kind: sqerror.BadSetting, Position: sqerror.Position{File: file}, Detail: detail, Advice: advice,
	}))
}
