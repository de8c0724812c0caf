// Command rwlocal runs the whole system in one process on embedded stand-ins.
package main

func main() {}
