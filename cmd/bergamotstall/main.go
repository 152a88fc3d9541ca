// Command bergamotstall runs one role of the load balancer.
package main

func main() {}
