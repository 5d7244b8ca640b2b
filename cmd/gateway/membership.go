package main

// membership is how the server reports to the fleet. A front end outside any fleet uses standalone.
type membership interface {
	// ShutdownGrants returns a channel that receives the exit code once the fleet grants a shutdown. The channel is nil
	// outside a fleet.
	ShutdownGrants() <-chan int
	ReportServing()
	ReportDraining()
	// Close reports that the process ends, and leaves the fleet.
	Close()
}

// standalone is the membership of a front end outside any fleet.
type standalone struct{}

func (standalone) ShutdownGrants() <-chan int { return nil }
func (standalone) ReportServing()             {}
func (standalone) ReportDraining()            {}
func (standalone) Close()                     {}
