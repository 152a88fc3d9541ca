package main

import (
	"fmt"
	"sync"
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/platform/standin"
)

// The services of the route case and the only route, which is allowed to go to archive.
const (
	archive = "mapdocs"
	desk    = "casework"
)

var archiveAddress = packet.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}

const (
	// steadyTime is how long requests are sent before the disruption, and afterTime how
	// long after it.
	steadyTime = 3 * time.Second
	afterTime  = 6 * time.Second
	// requestInterval is the time between two requests.
	requestInterval = 20 * time.Millisecond
)

// routeCase: all VMs of one service are lost for good, and their addresses go to another
// service after bounds.addrReuseS. No request may be run by that other service.
func routeCase(d *deployment, trouble bool) (bool, error) {
	if err := d.startCore(); err != nil {
		return false, err
	}
	crash := map[byte]func(){}
	for n := byte(1); n <= 4; n++ {
		service := archive
		if n == 4 {
			service = desk
		}
		if err := d.startAgent(agentName(n, 1), n, service); err != nil {
			return false, err
		}
		_, end, err := d.startTarget(fmt.Sprintf("i-%d-1", n), n, service)
		if err != nil {
			return false, err
		}
		crash[n] = end
	}
	if err := d.put(3, map[packet.Endpoint]string{archiveAddress: archive}, archive, desk); err != nil {
		return false, err
	}
	if err := d.awaitRotation(); err != nil {
		return false, err
	}
	client, err := standin.NewClient(d.ctx, d.at(clientVM, 1, d.ports.packets), d.fabric, d.ledger)
	if err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeat)
	results := make(chan answer, 10_000)
	stop := make(chan struct{})
	var requests sync.WaitGroup
	requests.Add(1)
	go func() {
		defer requests.Done()
		d.sendRequests(client, stop, results, &requests)
	}()
	time.Sleep(steadyTime)
	if trouble {
		err = d.replaceArchive(crash)
	}
	time.Sleep(afterTime)
	close(stop)
	requests.Wait()
	close(results)
	return d.judgeRoute(results), err
}

func agentName(n byte, run int) string { return fmt.Sprintf("agent-%d-%d", n, run) }

// sendRequests sends a request each requestInterval.
func (d *deployment) sendRequests(c *standin.Client, stop <-chan struct{}, results chan<- answer, running *sync.WaitGroup) {
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			running.Add(1)
			go func() {
				defer running.Done()
				results <- d.request(c, archiveAddress)
			}()
		}
	}
}

// replaceArchive ends all targets of archive with their VMs, and starts targets of desk at
// their addresses once these may be reused.
func (d *deployment) replaceArchive(crash map[byte]func()) error {
	for n := byte(1); n <= 3; n++ {
		crash[n]()
		d.kill(agentName(n, 1))
		d.note("the VM %s of %s is lost for good", d.ip(targetVM, n), archive)
	}
	time.Sleep(addrReuse + 100*time.Millisecond)
	var wg sync.WaitGroup
	errs := make(chan error, 3)
	for n := byte(1); n <= 3; n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := d.startAgent(agentName(n, 2), n, desk); err != nil {
				errs <- err
				return
			}
			if _, _, err := d.startTarget(fmt.Sprintf("i-%d-2", n), n, desk); err != nil {
				errs <- err
				return
			}
			d.note("a target of %s has started at the address %s", desk, d.ip(targetVM, n))
		}()
	}
	wg.Wait()
	close(errs)
	return <-errs
}

// judgeRoute reports whether any request was run by a service that the route doesn't name.
func (d *deployment) judgeRoute(results <-chan answer) bool {
	sent, byArchive, byOther := 0, 0, 0
	for a := range results {
		sent++
		switch a.service {
		case archive:
			byArchive++
		case "":
		default:
			byOther++
		}
	}
	d.note("%d requests, %d answered by %s, %d by another service", sent, byArchive, archive, byOther)
	return byOther > 0
}
