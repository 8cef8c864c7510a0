jujubequay_program(jjq-settings-page SOURCES apps/jjq_settings_page.cpp DEPENDS jujubequay_daemon)

