# Files that are installed beside the programs.
install(FILES packaging/systemd/fireflythreadd@.service
              packaging/systemd/fireflythread.target
  DESTINATION lib/systemd/system)
install(FILES packaging/man/fireflythreadd.8 DESTINATION ${CMAKE_INSTALL_MANDIR}/man8)
install(FILES packaging/man/fireflythreadctl.1 DESTINATION ${CMAKE_INSTALL_MANDIR}/man1)
install(FILES packaging/completion/fireflythreadctl
  DESTINATION ${CMAKE_INSTALL_DATADIR}/bash-completion/completions)
install(FILES packaging/examples/kootenay-entry-1.ini
              packaging/examples/split-entry-1.ini
  DESTINATION ${CMAKE_INSTALL_DOCDIR}/examples)
install(FILES README.md docs/settings.md docs/api.md docs/logs.md docs/glossary.md
  DESTINATION ${CMAKE_INSTALL_DOCDIR})
install(DIRECTORY docs/operators DESTINATION ${CMAKE_INSTALL_DOCDIR})
