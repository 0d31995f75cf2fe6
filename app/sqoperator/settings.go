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

// settingsChecker checks that the process settings in a folder are consistent.
type settingsChecker struct {
	cfg           *sqcommand.Configuration
	fileByName    map[string]string
	firstFile     string
	firstControls []string
	errs          []*sqerror.Error
}

// checkSettings checks the process settings among files, also against each
// other and against the declarations. cfg is nil if the declarations have
// errors; the settings are then not compared with them.
func checkSettings(files []tomlFile, cfg *sqcommand.Configuration) []*sqerror.Error {
	checker := &settingsChecker{cfg: cfg, fileByName: map[string]string{}}
	for _, f := range files {
		name := path.Base(f.path)
		switch {
		case strings.HasPrefix(name, "control"):
			s, errs := sqsettings.ParseControl(f.path, f.data)
			checker.errs = append(checker.errs, errs...)
			if s != nil {
				checker.checkProcess(f.path, s.Node().Deployment(), s.Node().Name(), s.Node().Zone(), s.ControlAddresses())
			}
		case strings.HasPrefix(name, "entry"):
			s, errs := sqsettings.ParseEntry(f.path, f.data)
			checker.errs = append(checker.errs, errs...)
			if s != nil {
				checker.checkProcess(f.path, s.Node().Deployment(), s.Node().Name(), s.Node().Zone(), s.ControlAddresses())
			}
		case strings.HasPrefix(name, "coordinator"):
			_, errs := sqsettings.ParseCoordinator(f.path, f.data)
			checker.errs = append(checker.errs, errs...)
		case strings.HasPrefix(name, "gateway"):
			_, errs := sqsettings.ParseGateway(f.path, f.data)
			checker.errs = append(checker.errs, errs...)
		}
	}
	return checker.errs
}

func (c *settingsChecker) checkProcess(file, deployment, name, zone string, controls []string) {
	if otherFile, ok := c.fileByName[name]; ok {
		c.addError(file, "the name "+strconv.Quote(name)+" is taken by "+otherFile, "give each process a name of its own")
	}
	c.fileByName[name] = file
	sortedControls := slices.Sorted(slices.Values(controls))
	if c.firstControls == nil {
		c.firstFile, c.firstControls = file, sortedControls
	}
	if !slices.Equal(c.firstControls, sortedControls) {
		c.addError(file, "cluster.controls differs from "+c.firstFile, "write the same addresses in every file")
	}
	if c.cfg == nil {
		return
	}
	if deployment != c.cfg.GetDeployment() {
		c.addError(file, "the deployment is "+strconv.Quote(deployment)+" but deployment.toml says "+strconv.Quote(c.cfg.GetDeployment()),
			"write deployment = "+strconv.Quote(c.cfg.GetDeployment()))
	}
	if zones := c.cfg.GetFleet().GetZones(); !slices.Contains(zones, zone) {
		c.addError(file, "there is no availability zone "+strconv.Quote(zone), "write one of: "+strings.Join(zones, ", "))
	}
}

func (c *settingsChecker) addError(file, detail, advice string) {
	c.errs = append(c.errs, sqerror.New(sqerror.Config{
		Kind: sqerror.BadSetting, Position: sqerror.Position{File: file}, Detail: detail, Advice: advice,
	}))
}
